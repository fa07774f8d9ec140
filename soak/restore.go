package soak

import (
	"math/rand/v2"
	"time"
)

const (
	// maxCopyAge bounds the age of the copy that the store is restored from,
	// maxRewriteDelay how long after it what is lost is written again.
	maxCopyAge      = 8 * time.Second
	maxRewriteDelay = time.Second
)

// scheduleRestore restores the store in half of the runs, once or twice in a row in
// the first half of the run.
func (w *world) scheduleRestore() {
	random := rand.New(rand.NewPCG(w.opts.Seed, 12)) // leaves the sequence of faults as it is
	if random.IntN(2) == 0 {
		return
	}
	at := time.Duration(random.Int64N(int64(w.opts.Duration / 2)))
	for range 1 + random.IntN(2) {
		age := time.Duration(random.Int64N(int64(maxCopyAge)))
		delay := time.Duration(random.Int64N(int64(maxRewriteDelay)))
		time.AfterFunc(at, func() { w.restoreStore(age, delay) })
		at += time.Duration(random.Int64N(int64(2 * time.Second)))
	}
}

func (w *world) restoreStore(age, rewriteDelay time.Duration) {
	w.publishing.Lock()
	defer w.publishing.Unlock()
	era := w.store.Restore(age)
	w.events.add("store restored from a copy of %v ago, era %d, rewritten in %v", age, era, rewriteDelay)
	for _, h := range w.hosts {
		h.recordDisturbance(rewriteDelay, false)
	}
	time.AfterFunc(rewriteDelay, w.rewrite)
}

// rewrite writes again what the store may have lost.
func (w *world) rewrite() {
	w.publishing.Lock()
	defer w.publishing.Unlock()
	w.store.PutConfig(w.config)
	for _, id := range w.removed {
		w.store.RemoveServer(id)
	}
	for _, b := range w.backends {
		b.mu.Lock()
		entry, isUp := b.entry, !b.closed && !b.down
		b.mu.Unlock()
		if isUp {
			w.store.PutServer(entry)
		}
	}
}

// removeServer removes a server's entry from the directory.
func (w *world) removeServer(id string) {
	w.publishing.Lock()
	defer w.publishing.Unlock()
	w.removed = append(w.removed, id)
	w.store.RemoveServer(id)
}
