package soak

import (
	"context"
	"errors"
	"sync"
	"time"
)

// injectFaults injects random faults for the duration of the run. Faults of
// different hosts may overlap.
func (w *world) injectFaults(ctx context.Context) error {
	var overlapping sync.WaitGroup
	defer overlapping.Wait()
	var mu sync.Mutex
	var failed error
	busy := make(map[*host]bool)
	end := time.Now().Add(w.opts.Duration)
	for time.Now().Before(end) && ctx.Err() == nil {
		time.Sleep(time.Duration(100+w.random.IntN(500)) * time.Millisecond)
		d := time.Duration(200+w.random.IntN(2500)) * time.Millisecond
		h := w.hosts[w.random.IntN(len(w.hosts))]
		b := w.backends[w.random.IntN(len(w.backends))]
		kind := w.random.IntN(10)
		if kind < 4 {
			mu.Lock()
			taken := busy[h]
			busy[h] = true
			mu.Unlock()
			if taken {
				continue
			}
			overlapping.Add(1)
			go func() {
				defer overlapping.Done()
				err := w.disturbHost(h, kind, d)
				mu.Lock()
				defer mu.Unlock()
				busy[h] = false
				failed = errors.Join(failed, err)
			}()
			continue
		}
		if err := w.disturbOther(h, b, kind, d); err != nil {
			return err
		}
	}
	overlapping.Wait()
	return failed
}

// faultNames are the names of the kinds of faults in the event log.
var faultNames = []string{
	"kill", "restart", "pause", "reload", "store link", "all store links", "server link", "configuration", "compaction", "replacement",
}

func (w *world) disturbHost(h *host, kind int, d time.Duration) error {
	w.events.add("%s: %s for %v", h.Name, faultNames[kind], d)
	switch kind {
	case 0:
		return h.killAndRestart(d / 4)
	case 1:
		return h.restart()
	case 2:
		h.pause(d)
	case 3:
		h.reload()
	}
	return nil
}

func (w *world) disturbOther(h *host, b *backend, kind int, d time.Duration) error {
	fault := linkFault(1 + w.random.IntN(int(linkFaultCount)-1))
	w.events.add("%s of %s or %s, link fault %d, for %v", faultNames[kind], h.Name, b.current().ID, fault, d)
	switch kind {
	case 4:
		h.recordDisturbance(d, false)
		h.storeLink.inject(fault, d)
	case 5:
		for _, x := range w.hosts {
			x.recordDisturbance(d, false)
			x.storeLink.inject(fault, d)
		}
	case 6:
		b.link.inject(fault, d)
	case 7:
		w.publishConfig(plainServices[w.random.IntN(2)])
	case 8:
		w.store.Compact()
	case 9:
		return w.replaceBackend(b)
	}
	return nil
}

// replaceBackend starts another server of the service and makes b leave. The answers
// of b announce it before its directory entry does.
func (w *world) replaceBackend(b *backend) error {
	if leaving, _ := b.announced(); leaving {
		return nil
	}
	if err := w.addBackend(b.current().Service, w.random.IntN(3)); err != nil {
		return err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.leaving = true
	wait := time.Duration(b.random.Int64N(int64(maxUnpublished)))
	time.AfterFunc(wait, func() { w.publishLeaving(b) })
	time.AfterFunc(wait+applyBound+2*time.Second, func() {
		w.removeServer(b.current().ID)
		b.close()
	})
	return nil
}

// publishLeaving marks the server as draining in the directory.
func (w *world) publishLeaving(b *backend) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return
	}
	b.entry.Draining = true
	w.log.mu.Lock()
	w.leavingSince[b.entry.ID] = time.Now()
	w.log.mu.Unlock()
	if !b.down {
		w.store.PutServer(b.entry)
	}
}
