// Package configstore holds what the users' configuration service and host list
// publish. The protocol is the JSON form of etcd's v3 API: range reads and
// watches; the system never writes. The package does no I/O; the client stands
// in configstore/client.
package configstore

import (
	"bytes"
	"strconv"
)

// Key prefixes that the users publish under.
const (
	PrefixServices = "figmast/services/"
	PrefixHosts    = "figmast/hosts/"
	// PrefixAll spans both.
	PrefixAll = "figmast/"
)

// Paths of the protocol.
const (
	PathRange = "/v3/kv/range"
	PathWatch = "/v3/watch"
)

// Int64 is written as a string in the protocol's JSON.
type Int64 int64

// MarshalJSON writes the number in quotes.
func (n Int64) MarshalJSON() ([]byte, error) {
	return []byte(`"` + strconv.FormatInt(int64(n), 10) + `"`), nil
}

// UnmarshalJSON reads the number with or without quotes.
func (n *Int64) UnmarshalJSON(b []byte) error {
	v, err := strconv.ParseInt(string(bytes.Trim(b, `"`)), 10, 64)
	*n = Int64(v)
	return err
}

// Header tells the revision that an answer reflects.
type Header struct {
	Revision Int64 `json:"revision"`
}

// KeyValue is one published value.
type KeyValue struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value,omitempty"`
	// CreateRevision is when the key was last created; a key that is deleted
	// and published again gets a higher one.
	CreateRevision Int64 `json:"create_revision,omitempty"`
	// ModRevision is when the value was published.
	ModRevision Int64 `json:"mod_revision"`
}

// RangeRequest reads the keys from Key up to RangeEnd.
type RangeRequest struct {
	Key       []byte `json:"key"`
	RangeEnd  []byte `json:"range_end,omitempty"`
	CountOnly bool   `json:"count_only,omitempty"`
}

// RangeResponse answers a RangeRequest.
type RangeResponse struct {
	Header Header     `json:"header"`
	Kvs    []KeyValue `json:"kvs"`
	Count  Int64      `json:"count"`
}

// WatchCreate starts a watch at StartRevision.
type WatchCreate struct {
	Key           []byte `json:"key"`
	RangeEnd      []byte `json:"range_end,omitempty"`
	StartRevision Int64  `json:"start_revision"`
}

// WatchRequest is the body of a watch.
type WatchRequest struct {
	CreateRequest WatchCreate `json:"create_request"`
}

// EventDelete is the type of an event that removes a key.
const EventDelete = "DELETE"

// Event is one change.
type Event struct {
	// Type is empty or "PUT" for a new value and EventDelete for a removal.
	Type string   `json:"type,omitempty"`
	Kv   KeyValue `json:"kv"`
}

// WatchResult is what one line of a watch holds.
type WatchResult struct {
	Header  Header  `json:"header"`
	Created bool    `json:"created,omitempty"`
	Events  []Event `json:"events,omitempty"`
}

// WatchResponse is one line of a watch.
type WatchResponse struct {
	Result WatchResult `json:"result"`
}
