package feed

import (
	"bufio"
	"errors"
	"net"
	"time"

	"github.com/figmast/figmast/news"
)

const (
	// dialWithin bounds opening a link; hosts are about 1 ms apart.
	dialWithin = 300 * time.Millisecond
	// answerWithin bounds an answer to a poll, and writing one.
	answerWithin = 500 * time.Millisecond
	// childFor is how long a link on which nothing is asked stays open.
	childFor = 10 * time.Second
	// bufferBytes is the size of a link's read buffer; most messages are far
	// smaller.
	bufferBytes = 1 << 10
)

// link is a connection to a host that is asked for news.
type link struct {
	address string
	polls   chan *news.Poll
	done    chan struct{}
	last    *news.Update
	// asked holds when the poll in progress was sent; it belongs to the owner
	// of the State.
	nonce uint64
	asked time.Time
	next  time.Time
	// told is the state of the reports of crashes at the last poll.
	told   uint64
	polled time.Time
	closed bool
}

// link keeps links to the upstreams and polls them.
func (f *Feed) link(now time.Time) {
	want := make(map[string]bool)
	upstreams := f.opts.State.Upstreams(now)
	for _, address := range upstreams {
		want[address] = true
		if f.links[address] == nil {
			f.open(address)
		}
	}
	for address, l := range f.links {
		if !want[address] {
			f.drop(l)
			continue
		}
		f.poll(now, l, address == upstreams[0])
	}
}

func (f *Feed) poll(now time.Time, l *link, push bool) {
	if !l.asked.IsZero() {
		if now.Sub(l.asked) > answerWithin+dialWithin {
			f.broken(now, l, errors.New("no answer in time"))
		}
		return
	}
	at, upwards := f.opts.State.CrashSeqs()
	urgent := l.told < upwards && now.Sub(l.polled) >= crashEvery
	if now.Before(l.next) && !urgent {
		return
	}
	l.told, l.polled = at, now
	l.nonce++
	l.asked = now
	l.next = now.Add(f.opts.State.PollInterval())
	l.polls <- f.opts.State.BuildPoll(now, l.nonce, l.address, l.last, push)
}

func (f *Feed) open(address string) {
	l := &link{address: address, polls: make(chan *news.Poll, 1), done: make(chan struct{})}
	f.links[address] = l
	f.closed.Add(1)
	go f.serveLink(l)
}

func (f *Feed) drop(l *link) {
	if !l.closed {
		l.closed = true
		close(l.done)
	}
	if f.links[l.address] == l {
		delete(f.links, l.address)
	}
}

func (f *Feed) broken(now time.Time, l *link, err error) {
	if l.closed {
		return
	}
	f.opts.Log("link lost", "peer", l.address, "err", err)
	f.opts.State.MarkUnreachable(now, l.address)
	f.drop(l)
}

func (f *Feed) closeLinks() {
	for _, l := range f.links {
		f.drop(l)
	}
	for c := range f.children {
		_ = c.conn.Close()
	}
}

// serveLink sends polls and takes in updates until the link breaks.
func (f *Feed) serveLink(l *link) {
	defer f.closed.Done()
	conn, err := net.DialTimeout("tcp", net.JoinHostPort(l.address, f.opts.Port), dialWithin)
	if err != nil {
		f.post(func(now time.Time) { f.broken(now, l, err) })
		return
	}
	f.closed.Add(1)
	go f.readLink(l, conn)
	defer conn.Close()
	for {
		select {
		case p := <-l.polls:
			if err := writeMessage(conn, p); err != nil {
				f.post(func(now time.Time) { f.broken(now, l, err) })
				return
			}
		case <-l.done:
			return
		case <-f.ctx.Done():
			return
		}
	}
}

func (f *Feed) readLink(l *link, conn net.Conn) {
	defer f.closed.Done()
	r := bufio.NewReaderSize(conn, bufferBytes)
	for {
		u := new(news.Update)
		if err := readMessage(r, u); err != nil {
			f.post(func(now time.Time) { f.broken(now, l, err) })
			return
		}
		f.post(func(now time.Time) { f.takeUpdate(now, l, u) })
	}
}

func (f *Feed) takeUpdate(now time.Time, l *link, u *news.Update) {
	if l.closed {
		return
	}
	var asked time.Time
	if u.Nonce != 0 && u.Nonce == l.nonce {
		asked = l.asked
		l.asked = time.Time{}
		l.last = u
	}
	if u.Nonce == 0 && l.last != nil {
		l.last.CrashSeq = u.CrashSeq
	}
	f.opts.State.MarkAnswered(now, l.address, u)
	f.opts.State.ApplyUpdate(now, asked, u)
}

// child is a link of another host that asks this one.
type child struct {
	conn net.Conn
	have int64
	// crashes is the state of the reports of crashes that it has.
	crashes uint64
	told    time.Time
	push    bool
	out     chan []byte
}

// childQueue is how many messages may wait for a slow child; it is cut off
// beyond that and asks anew.
const childQueue = 8

func (f *Feed) accept() {
	defer f.closed.Done()
	for {
		conn, err := f.listener.Accept()
		if err != nil {
			if f.ctx.Err() != nil {
				return
			}
			f.opts.Log("link not accepted", "err", err)
			time.Sleep(tickEvery)
			continue
		}
		c := &child{conn: conn, out: make(chan []byte, childQueue)}
		f.closed.Add(2)
		go f.writeChild(c)
		go f.readChild(c)
	}
}

func (f *Feed) readChild(c *child) {
	defer f.closed.Done()
	defer f.post(func(time.Time) {
		delete(f.children, c)
		close(c.out)
	})
	r := bufio.NewReaderSize(c.conn, bufferBytes)
	f.post(func(time.Time) { f.children[c] = true })
	for {
		_ = c.conn.SetReadDeadline(time.Now().Add(childFor))
		p := new(news.Poll)
		if err := readMessage(r, p); err != nil {
			_ = c.conn.Close()
			return
		}
		f.post(func(now time.Time) {
			u := f.opts.State.AnswerPoll(now, p)
			c.have, c.crashes, c.told, c.push = u.Revision, u.CrashSeq, now, p.Push
			f.sendChild(c, f.encode(u))
		})
	}
}

// encode returns a message as it is sent, or nil.
func (f *Feed) encode(u *news.Update) []byte {
	b, err := encodeMessage(u)
	if err != nil {
		f.opts.Log("message not encoded", "err", err)
	}
	return b
}

// sendChild queues a message; it must be called by the owner of the State.
func (f *Feed) sendChild(c *child, b []byte) {
	if b == nil {
		return
	}
	select {
	case c.out <- b:
	default:
		_ = c.conn.Close()
	}
}

func (f *Feed) writeChild(c *child) {
	defer f.closed.Done()
	for {
		select {
		case b, ok := <-c.out:
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

// push sends news to the hosts that ask this one, without their asking.
func (f *Feed) push(now time.Time) {
	revision := f.opts.State.Revision()
	crashes, _ := f.opts.State.CrashSeqs()
	type state struct {
		have    int64
		crashes uint64
	}
	sent := make(map[state][]byte)
	for c := range f.children {
		urgent := c.crashes != crashes && now.Sub(c.told) >= crashEvery
		if !c.push || c.have == 0 || c.have >= revision && !urgent {
			continue
		}
		has := state{c.have, c.crashes}
		if sent[has] == nil {
			sent[has] = f.encode(f.opts.State.UpdateSince(now, c.have, c.crashes))
		}
		c.have, c.crashes, c.told = revision, crashes, now
		f.sendChild(c, sent[has])
	}
}
