package traffic

import (
	"time"

	figmast "github.com/figmast/figmast"
	"github.com/figmast/figmast/decision"
	"github.com/figmast/figmast/document"
	"github.com/figmast/figmast/leafcall"
)

// Recorder is told what becomes of requests and leaf calls. Decided is called
// with the Runner's lock held, the others without; none may block or call the
// Runner.
type Recorder interface {
	Started(s Start)
	Decided(list []decision.Decision)
	CallEnded(s leafcall.Send, res leafcall.Result, took time.Duration)
	Ended(e End)
}

// Start tells of a request that a host takes up.
type Start struct {
	Request   string
	Service   string
	Operation string
	Kind      document.Kind
	// Forwarded is set when a peer sent the request here.
	Forwarded bool
}

// End tells how a request ended. Problem is nil for an answered one; both
// Problem and Answered are unset when the caller went away.
type End struct {
	Start
	Answered bool
	Coverage float64
	Problem  *figmast.Problem
	Took     time.Duration
}

// noRecorder is used where none is given.
type noRecorder struct{}

func (noRecorder) Started(Start)                                           {}
func (noRecorder) Decided([]decision.Decision)                             {}
func (noRecorder) CallEnded(leafcall.Send, leafcall.Result, time.Duration) {}
func (noRecorder) Ended(End)                                               {}
