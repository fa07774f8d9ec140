package command

import (
	"time"

	figmast "github.com/figmast/figmast"
	"github.com/figmast/figmast/decision"
	"github.com/figmast/figmast/policy"
)

// Waiting for room at the backend servers.
const (
	// roomShare is the part of the time left, one in so many, that a command
	// waits at most; then it is refused while its caller can still turn
	// elsewhere.
	roomShare = 4
	// maxRoomWait bounds that wait.
	maxRoomWait = 500 * time.Millisecond
	// maxWaitingForRoom bounds the commands that wait; more are refused.
	maxWaitingForRoom = 1024
)

// roomPoll is how often a waiting command asks for room: urgent ones more
// often, so that they get it first.
func roomPoll(u figmast.Urgency) time.Duration {
	switch u.Rank() {
	case 0:
		return 5 * time.Millisecond
	case 1:
		return 10 * time.Millisecond
	default:
		return 20 * time.Millisecond
	}
}

// roomUntil returns until when a command that is admitted now waits for room.
func roomUntil(now, deadline time.Time) time.Time {
	return now.Add(min(deadline.Sub(now)/roomShare, maxRoomWait))
}

// awaitRoom has the run try again soon, if a server may have room by then. It
// reports whether the run waits.
func (e *Engine) awaitRoom(now time.Time, c *claim, reason policy.Reason) bool {
	r := c.run
	mayPass := reason == policy.AllBusy || reason == policy.AllCold
	again := now.Add(roomPoll(r.req.Urgency))
	if !mayPass || e.closed || e.rooms.len() >= maxWaitingForRoom || again.After(r.roomUntil) {
		return false
	}
	if !r.queued {
		r.queued = true
		for _, w := range c.waiting {
			e.decide(w, decision.Queued, r.leaf, "", string(reason))
		}
	}
	e.rooms.add(again, c)
	return true
}

// retryRooms has the runs that wait for room try again when they are due.
func (e *Engine) retryRooms(now time.Time) {
	for c, ok := e.rooms.take(now); ok; c, ok = e.rooms.take(now) {
		e.send(now, c)
	}
}
