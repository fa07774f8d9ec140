package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	figmast "github.com/figmast/figmast"
)

// callTimeout bounds one HTTP call.
const callTimeout = 15 * time.Second

// maxAnswerBytes is how much of an answer is read.
const maxAnswerBytes = 64 << 20

// httpClient is shared by all calls, so that connections are reused.
var httpClient = &http.Client{
	Timeout:   callTimeout,
	Transport: &http.Transport{MaxIdleConnsPerHost: 256},
}

// get sends a GET request and decodes the JSON answer into out. A refusal is
// returned as a *figmast.Problem.
func get(ctx context.Context, url string, out any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	return do(req, out)
}

// post sends body as JSON and decodes the JSON answer into out. A refusal is
// returned as a *figmast.Problem.
func post(ctx context.Context, url, requestID string, body, out any) error {
	b, err := json.Marshal(body)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(b))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	if requestID != "" {
		req.Header.Set(figmast.HeaderRequestID, requestID)
	}
	return do(req, out)
}

func do(req *http.Request, out any) error {
	resp, err := httpClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return err
	}
	if resp.StatusCode == http.StatusOK {
		return json.Unmarshal(answer, out)
	}
	var p figmast.Problem
	if json.Unmarshal(answer, &p) == nil && p.Title != "" {
		return &p
	}
	return fmt.Errorf("%s: %s", req.URL, resp.Status)
}

// asProblem returns the refusal that err wraps, or nil.
func asProblem(err error) *figmast.Problem {
	var p *figmast.Problem
	if errors.As(err, &p) {
		return p
	}
	return nil
}
