package daemon

import (
	"fmt"
	"strings"

	"github.com/figmast/figmast/configstore"
	"github.com/figmast/figmast/control"
	"github.com/figmast/figmast/timeline"
)

// configEvent returns the event for the acceptance or refusal of a published
// value.
func configEvent(v control.Verdict) timeline.Event {
	e := timeline.Event{Kind: timeline.ConfigAccepted, Detail: fmt.Sprintf("%s, revision %d", v.Key, v.Revision)}
	if v.Err != nil {
		e.Kind = timeline.ConfigRefused
		e.Detail += ": " + v.Err.Error()
	}
	if service, ok := strings.CutPrefix(v.Key, configstore.PrefixServices); ok {
		e.Service = service
	}
	if host, ok := strings.CutPrefix(v.Key, configstore.PrefixHosts); ok {
		e.Peer = host
	}
	return e
}
