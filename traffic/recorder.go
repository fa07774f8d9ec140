package traffic

import (
	"time"

	figmast "github.com/figmast/figmast"
	"github.com/figmast/figmast/decision"
	"github.com/figmast/figmast/document"
	"github.com/figmast/figmast/leafcall"
)

// Recorder is notified of requests, decisions and leaf calls. Decided is called
// with the Runner's lock held, the others without it. No method may block or
// call the Runner.
type Recorder interface {
	Started(s Start)
	Decided(list []decision.Decision)
	CallEnded(s leafcall.Send, res leafcall.Result, took time.Duration)
	Ended(e End)
}

// Start describes a request that the host has started to handle.
type Start struct {
	Request   string
	Service   string
	Operation string
	Kind      document.Kind
	// Forwarded is set if the request was forwarded by a peer.
	Forwarded bool
}

// End describes how a request ended. Answered is set for an answered request,
// Problem for a refused or failed one, and neither if the caller disconnected.
type End struct {
	Start
	Answered bool
	Coverage float64
	Problem  *figmast.Problem
	Took     time.Duration
}

// nopRecorder is the default Recorder.
type nopRecorder struct{}

func (nopRecorder) Started(Start)                                           {}
func (nopRecorder) Decided([]decision.Decision)                             {}
func (nopRecorder) CallEnded(leafcall.Send, leafcall.Result, time.Duration) {}
func (nopRecorder) Ended(End)                                               {}
