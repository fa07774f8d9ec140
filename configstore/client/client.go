// Package client reads the platform, which is the configuration service and host
// list of the users, over HTTP.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/figmast/figmast/configstore"
	"github.com/figmast/figmast/internal/fault"
)

// maxResponseBytes limits the response to a range read, which may hold all
// documents of a fleet.
const maxResponseBytes = 256 << 20

// Client reads from the platform at one address. Its errors are of type
// fault.Platform. It is safe for concurrent use.
type Client struct {
	address string
	http    *http.Client
}

// New returns a client of the platform at the given IP address and port.
func New(address string) *Client {
	return &Client{address: address, http: &http.Client{Transport: &http.Transport{DisableCompression: true}}}
}

// prefixEnd returns the first key after all keys with the prefix.
func prefixEnd(prefix string) []byte {
	end := []byte(prefix)
	end[len(end)-1]++
	return end
}

// Range reads all keys with the prefix.
func (c *Client) Range(ctx context.Context, prefix string) (*configstore.RangeResponse, error) {
	return c.read(ctx, configstore.RangeRequest{Key: []byte(prefix), RangeEnd: prefixEnd(prefix)})
}

// Revision returns the platform's newest revision. It reads no values.
func (c *Client) Revision(ctx context.Context) (int64, error) {
	res, err := c.read(ctx, configstore.RangeRequest{Key: []byte(configstore.PrefixAll), RangeEnd: prefixEnd(configstore.PrefixAll), CountOnly: true})
	if err != nil {
		return 0, err
	}
	return int64(res.Header.Revision), nil
}

func (c *Client) read(ctx context.Context, r configstore.RangeRequest) (*configstore.RangeResponse, error) {
	resp, err := c.post(ctx, configstore.PathRange, r)
	if err != nil {
		return nil, c.wrapError("range", err)
	}
	defer resp.Body.Close()
	var out configstore.RangeResponse
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(&out); err != nil {
		return nil, c.wrapError("range", err)
	}
	return &out, nil
}

// Watch calls f for each result with the changes from the revision on, until ctx
// is done or the connection ends. It always returns an error.
func (c *Client) Watch(ctx context.Context, prefix string, from int64, f func(configstore.WatchResult)) error {
	req := configstore.WatchRequest{CreateRequest: configstore.WatchCreate{Key: []byte(prefix), RangeEnd: prefixEnd(prefix), StartRevision: configstore.Int64(from)}}
	resp, err := c.post(ctx, configstore.PathWatch, req)
	if err != nil {
		return c.wrapError("watch", err)
	}
	defer resp.Body.Close()
	lines := json.NewDecoder(resp.Body)
	for {
		var line configstore.WatchResponse
		if err := lines.Decode(&line); err != nil {
			return c.wrapError("watch", err)
		}
		f(line.Result)
	}
}

func (c *Client) post(ctx context.Context, path string, body any) (*http.Response, error) {
	b, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.address+path, bytes.NewReader(b))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		_ = resp.Body.Close()
		return nil, fmt.Errorf("status %s", resp.Status)
	}
	return resp, nil
}

func (c *Client) wrapError(step string, err error) error {
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return fault.Wrap(fault.Platform, step, c.address, err)
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }
