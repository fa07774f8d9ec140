// Package configstore defines the messages of the platform, which is the
// configuration service and host list of the users. The protocol is the JSON form
// of etcd's v3 API, limited to range reads and watches, since the system never
// writes. The package does no I/O; the client is in configstore/client.
package configstore

import (
	"bytes"
	"strconv"
)

// Prefixes of the keys under which users publish documents and hosts.
const (
	PrefixServices = "figmast/services/"
	PrefixHosts    = "figmast/hosts/"
	// PrefixAll is the common prefix of both.
	PrefixAll = "figmast/"
)

// URL paths of the protocol.
const (
	PathRange = "/v3/kv/range"
	PathWatch = "/v3/watch"
)

// Int64 is an int64 that the protocol's JSON represents as a string.
type Int64 int64

// MarshalJSON formats the number as a string.
func (n Int64) MarshalJSON() ([]byte, error) {
	return []byte(`"` + strconv.FormatInt(int64(n), 10) + `"`), nil
}

// UnmarshalJSON parses the number with or without quotes.
func (n *Int64) UnmarshalJSON(b []byte) error {
	v, err := strconv.ParseInt(string(bytes.Trim(b, `"`)), 10, 64)
	*n = Int64(v)
	return err
}

// Header holds the revision of the platform that a response reflects.
type Header struct {
	Revision Int64 `json:"revision"`
}

// KeyValue is a published value with its key and revisions.
type KeyValue struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value,omitempty"`
	// CreateRevision is the revision at which the key was last created. A key that
	// is deleted and published again gets a higher one.
	CreateRevision Int64 `json:"create_revision,omitempty"`
	// ModRevision is the revision at which the value was published.
	ModRevision Int64 `json:"mod_revision"`
}

// RangeRequest asks for the keys from Key up to, but not including, RangeEnd, or for
// Key alone if RangeEnd is empty. With CountOnly the response has no values.
type RangeRequest struct {
	Key       []byte `json:"key"`
	RangeEnd  []byte `json:"range_end,omitempty"`
	CountOnly bool   `json:"count_only,omitempty"`
}

// RangeResponse is the response to a RangeRequest.
type RangeResponse struct {
	Header Header     `json:"header"`
	Kvs    []KeyValue `json:"kvs"`
	Count  Int64      `json:"count"`
}

// WatchCreate asks for a watch of the keys from Key up to, but not including,
// RangeEnd, which reports the changes from StartRevision on.
type WatchCreate struct {
	Key           []byte `json:"key"`
	RangeEnd      []byte `json:"range_end,omitempty"`
	StartRevision Int64  `json:"start_revision"`
}

// WatchRequest is the body of a request that starts a watch.
type WatchRequest struct {
	CreateRequest WatchCreate `json:"create_request"`
}

// EventDelete is the type of an event that removes a key.
const EventDelete = "DELETE"

// Event is a change of one key.
type Event struct {
	// Type is empty or "PUT" for a new value, and EventDelete for a removal.
	Type string   `json:"type,omitempty"`
	Kv   KeyValue `json:"kv"`
}

// WatchResult is the content of a WatchResponse.
type WatchResult struct {
	Header  Header  `json:"header"`
	Created bool    `json:"created,omitempty"`
	Events  []Event `json:"events,omitempty"`
}

// WatchResponse is one line in the response stream of a watch.
type WatchResponse struct {
	Result WatchResult `json:"result"`
}
