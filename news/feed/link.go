package feed

import (
	"bufio"
	"errors"
	"net"
	"time"

	"github.com/figmast/figmast/news"
)

const (
	// dialTimeout bounds the connect to an upstream; hosts are about 1 ms
	// apart.
	dialTimeout = 300 * time.Millisecond
	// answerTimeout bounds the wait for the answer to a poll, and the write of
	// a message.
	answerTimeout = 500 * time.Millisecond
	// idleTimeout is how long a connection without polls stays open.
	idleTimeout = 10 * time.Second
	// readBufferBytes is the size of a connection's read buffer; most messages
	// are far smaller.
	readBufferBytes = 1 << 10
)

// upstream is a connection to a host that this one polls. The goroutines that
// serve it use only address, polls and done; the other fields belong to the
// goroutine that owns the State.
type upstream struct {
	address    string
	polls      chan *news.Poll
	done       chan struct{}
	lastAnswer *news.Update
	// nonce identifies the last poll, and pollSentAt is when the poll in
	// progress was sent, or zero if none is.
	nonce      uint64
	pollSentAt time.Time
	nextPoll   time.Time
	// sentCrashSeq is the sequence number of the crash reports at the last
	// poll.
	sentCrashSeq uint64
	lastPoll     time.Time
	isClosed     bool
}

// pollUpstreams opens and closes connections as the upstreams change, and polls
// those that are due.
func (f *Feed) pollUpstreams(now time.Time) {
	want := make(map[string]bool)
	upstreams := f.opts.State.Upstreams(now)
	for _, address := range upstreams {
		want[address] = true
		if f.upstreams[address] == nil {
			f.openUpstream(address)
		}
	}
	for address, up := range f.upstreams {
		if !want[address] {
			f.dropUpstream(up)
			continue
		}
		f.pollUpstream(now, up, address == upstreams[0])
	}
}

// pollUpstream polls one upstream if no poll is in progress and the next one is
// due, or earlier if there are crash reports to send. It drops an upstream that
// has not answered in time.
func (f *Feed) pollUpstream(now time.Time, up *upstream, push bool) {
	if !up.pollSentAt.IsZero() {
		if now.Sub(up.pollSentAt) > answerTimeout+dialTimeout {
			f.failUpstream(now, up, errors.New("no answer to the poll in time"))
		}
		return
	}
	seq, upstreamSeq := f.opts.State.CrashSeqs()
	isUrgent := up.sentCrashSeq < upstreamSeq && now.Sub(up.lastPoll) >= crashSendInterval
	if now.Before(up.nextPoll) && !isUrgent {
		return
	}
	up.sentCrashSeq, up.lastPoll = seq, now
	up.nonce++
	up.pollSentAt = now
	up.nextPoll = now.Add(f.opts.State.PollInterval())
	up.polls <- f.opts.State.BuildPoll(now, up.nonce, up.address, up.lastAnswer, push)
}

func (f *Feed) openUpstream(address string) {
	up := &upstream{address: address, polls: make(chan *news.Poll, 1), done: make(chan struct{})}
	f.upstreams[address] = up
	f.running.Add(1)
	go f.serveUpstream(up)
}

func (f *Feed) dropUpstream(up *upstream) {
	if !up.isClosed {
		up.isClosed = true
		close(up.done)
	}
	if f.upstreams[up.address] == up {
		delete(f.upstreams, up.address)
	}
}

// failUpstream drops an upstream and has the State avoid it for a while.
func (f *Feed) failUpstream(now time.Time, up *upstream, err error) {
	if up.isClosed {
		return
	}
	f.opts.Log("connection to host lost", "peer", up.address, "err", err)
	f.opts.State.MarkUnreachable(now, up.address)
	f.dropUpstream(up)
}

func (f *Feed) closeConnections() {
	for _, up := range f.upstreams {
		f.dropUpstream(up)
	}
	for c := range f.downstreams {
		_ = c.conn.Close()
	}
}

// serveUpstream connects, starts the reader and sends polls until the
// connection fails or is dropped.
func (f *Feed) serveUpstream(up *upstream) {
	defer f.running.Done()
	conn, err := net.DialTimeout("tcp", net.JoinHostPort(up.address, f.opts.Port), dialTimeout)
	if err != nil {
		f.post(func(now time.Time) { f.failUpstream(now, up, err) })
		return
	}
	f.running.Add(1)
	go f.readUpstream(up, conn)
	defer conn.Close()
	for {
		select {
		case p := <-up.polls:
			if err := writeMessage(conn, p); err != nil {
				f.post(func(now time.Time) { f.failUpstream(now, up, err) })
				return
			}
		case <-up.done:
			return
		case <-f.ctx.Done():
			return
		}
	}
}

func (f *Feed) readUpstream(up *upstream, conn net.Conn) {
	defer f.running.Done()
	r := bufio.NewReaderSize(conn, readBufferBytes)
	for {
		u := new(news.Update)
		if err := readMessage(r, u); err != nil {
			f.post(func(now time.Time) { f.failUpstream(now, up, err) })
			return
		}
		f.post(func(now time.Time) { f.applyUpdate(now, up, u) })
	}
}

func (f *Feed) applyUpdate(now time.Time, up *upstream, u *news.Update) {
	if up.isClosed {
		return
	}
	var sentAt time.Time
	if u.Nonce != 0 && u.Nonce == up.nonce {
		sentAt = up.pollSentAt
		up.pollSentAt = time.Time{}
		up.lastAnswer = u
	}
	if u.Nonce == 0 && up.lastAnswer != nil {
		up.lastAnswer.CrashSeq = u.CrashSeq
	}
	f.opts.State.MarkAnswered(now, up.address, u)
	f.opts.State.ApplyUpdate(now, sentAt, u)
}

// downstream is a connection from a host that polls this one.
type downstream struct {
	conn net.Conn
	// at and crashSeq are the position in the store's history and the sequence
	// number of crash reports up to which the host has been sent updates.
	at       news.Position
	crashSeq uint64
	lastSent time.Time
	// push is whether the host has asked for pushed updates.
	push  bool
	queue chan []byte
}

// downstreamQueueSize is how many messages may wait for a slow host. One that
// falls further behind is disconnected and has to poll anew.
const downstreamQueueSize = 8

func (f *Feed) accept() {
	defer f.running.Done()
	for {
		conn, err := f.listener.Accept()
		if err != nil {
			if f.ctx.Err() != nil {
				return
			}
			f.opts.Log("connection not accepted", "err", err)
			time.Sleep(tickInterval)
			continue
		}
		c := &downstream{conn: conn, queue: make(chan []byte, downstreamQueueSize)}
		f.running.Add(2)
		go f.writeDownstream(c)
		go f.readDownstream(c)
	}
}

func (f *Feed) readDownstream(c *downstream) {
	defer f.running.Done()
	defer f.post(func(time.Time) {
		delete(f.downstreams, c)
		close(c.queue)
	})
	r := bufio.NewReaderSize(c.conn, readBufferBytes)
	f.post(func(time.Time) { f.downstreams[c] = true })
	for {
		_ = c.conn.SetReadDeadline(time.Now().Add(idleTimeout))
		p := new(news.Poll)
		if err := readMessage(r, p); err != nil {
			_ = c.conn.Close()
			return
		}
		f.post(func(now time.Time) {
			u := f.opts.State.AnswerPoll(now, p)
			c.at, c.crashSeq, c.lastSent, c.push = news.Position{Era: u.Era, Revision: u.Revision}, u.CrashSeq, now, p.Push
			f.sendDownstream(c, f.encode(u))
		})
	}
}

// encode returns an update in its wire format, or nil if it cannot be encoded.
func (f *Feed) encode(u *news.Update) []byte {
	b, err := encodeMessage(u)
	if err != nil {
		f.opts.Log("message not encoded", "err", err)
	}
	return b
}

// sendDownstream queues a message, or disconnects the host if its queue is full.
// It must be called from the goroutine that owns the State.
func (f *Feed) sendDownstream(c *downstream, b []byte) {
	if b == nil {
		return
	}
	select {
	case c.queue <- b:
	default:
		_ = c.conn.Close()
	}
}

func (f *Feed) writeDownstream(c *downstream) {
	defer f.running.Done()
	for {
		select {
		case b, ok := <-c.queue:
			if !ok {
				return
			}
			if err := writeBytes(c.conn, b); err != nil {
				_ = c.conn.Close()
			}
		case <-f.ctx.Done():
			return
		}
	}
}

// pushUpdates sends changes to the downstream hosts that have asked for pushed
// updates.
func (f *Feed) pushUpdates(now time.Time) {
	at := f.opts.State.Position()
	crashSeq, _ := f.opts.State.CrashSeqs()
	type start struct {
		news.Position
		crashSeq uint64
	}
	sent := make(map[start][]byte)
	for c := range f.downstreams {
		isUrgent := c.crashSeq != crashSeq && now.Sub(c.lastSent) >= crashSendInterval
		isCurrent := c.at.Era == at.Era && c.at.Revision >= at.Revision
		if !c.push || c.at.Revision == 0 || isCurrent && !isUrgent {
			continue
		}
		from := start{c.at, c.crashSeq}
		if sent[from] == nil {
			sent[from] = f.encode(f.opts.State.UpdateSince(now, c.at, c.crashSeq))
		}
		c.at, c.crashSeq, c.lastSent = at, crashSeq, now
		f.sendDownstream(c, sent[from])
	}
}
