package intake

import (
	"io"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

// open adds a connection that enters a phase at a time.
func open(t *testing.T, table *Table, d time.Duration, p Phase) *Conn {
	t.Helper()
	c, evicted := table.Open(at(d), nil)
	if c == nil || evicted != nil {
		t.Fatal("the connection is not taken without closing another")
	}
	table.Enter(at(d), c, p)
	return c
}

// TestOpenClosesTheMostExpendable guards against refusing callers, or closing
// connections in use, while others are kept open without a request.
func TestOpenClosesTheMostExpendable(t *testing.T) {
	type conn struct {
		since time.Duration
		phase Phase
	}
	for name, tt := range map[string]struct {
		conns []conn
		want  int // index of the closed one, -1 if the new one is refused
	}{
		"the one that was sent its last answer": {[]conn{{0, Waiting}, {0, Idle}, {0, Lingering}}, 2},
		"an overdue body before an idle one":    {[]conn{{0, Idle}, {time.Second, Receiving}}, 1},
		"an overdue head before an idle one":    {[]conn{{0, Idle}, {time.Second, Waiting}}, 1},
		"the longest overdue one":               {[]conn{{time.Second, Waiting}, {0, Receiving}}, 1},
		"an idle one before a fresh body":       {[]conn{{1500 * time.Millisecond, Receiving}, {1900 * time.Millisecond, Idle}}, 1},
		"the longest idle one":                  {[]conn{{time.Second, Idle}, {0, Idle}}, 1},
		"an idle one before a stalled answer":   {[]conn{{0, Sending}, {time.Second, Idle}}, 1},
		"a stalled answer before a fresh body":  {[]conn{{1500 * time.Millisecond, Receiving}, {time.Second, Sending}}, 1},
		"a fresh one before one in use":         {[]conn{{0, Serving}, {1900 * time.Millisecond, Waiting}}, 1},
		"none in use":                           {[]conn{{0, Serving}, {1900 * time.Millisecond, Sending}}, -1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			table := NewTable(Options{MaxConnections: len(tt.conns), MaxBytes: 100})
			var conns []*Conn
			for _, c := range tt.conns {
				conns = append(conns, open(t, table, c.since, c.phase))
			}
			c, evicted := table.Open(at(2*time.Second), nil)
			is.Equal(table.Len(), len(tt.conns))
			if tt.want < 0 {
				is.True(c == nil && evicted == nil)
				return
			}
			is.True(c != nil)
			is.Equal(evicted, conns[tt.want])
			is.True(!table.Enter(at(2*time.Second), evicted, Serving)) // its request is not passed on
		})
	}
}

// TestReserveClosesTheCostliest: memory is taken back from bodies and answers that
// hold the most for the longest time, but from none in its grace or in use.
func TestReserveClosesTheCostliest(t *testing.T) {
	is := is.New(t)
	table := NewTable(Options{MaxConnections: 10, MaxBytes: 100})
	reserve := func(d time.Duration, c *Conn, n int64) bool {
		ok, _ := table.Reserve(at(d), c, n)
		return ok
	}
	long := open(t, table, 0, Receiving)
	large := open(t, table, time.Second, Receiving)
	used := open(t, table, 0, Serving)
	is.True(reserve(0, long, 10))
	is.True(reserve(time.Second, large, 60))
	is.True(reserve(time.Second, used, 30))

	fresh := open(t, table, 1500*time.Millisecond, Receiving)
	ok, evicted := table.Reserve(at(1500*time.Millisecond), fresh, 20)
	is.True(!ok) // the large body is in its grace, and the long one does not suffice
	is.Equal(evicted, []*Conn{long})
	ok, evicted = table.Reserve(at(2*time.Second), fresh, 20)
	is.True(ok)
	is.Equal(evicted, []*Conn{large})
	is.Equal(table.Held(), int64(50))

	ok, _ = table.Reserve(at(3*time.Second), fresh, 60)
	is.True(!ok) // what is left is in use, or its own
	table.Release(used, 1000)
	is.Equal(table.Held(), int64(20))
	is.True(reserve(3*time.Second, fresh, 500)) // alone, it may hold any number
	is.True(table.Enter(at(3*time.Second), fresh, Idle))
	is.Equal(table.Held(), int64(0))
	is.True(!reserve(3*time.Second, large, 1)) // it is closed
}

func TestGuestCountsAndStays(t *testing.T) {
	is := is.New(t)
	table := NewTable(Options{MaxConnections: 1, MaxBytes: 100})
	guest := NewGuest(start)
	ok, _ := table.Reserve(start, guest, 90)
	is.True(ok)
	c := open(t, table, 0, Receiving)
	ok, evicted := table.Reserve(at(time.Minute), c, 20)
	is.True(!ok && evicted == nil)
	table.Remove(guest)
	is.Equal(table.Held(), int64(0))
	is.Equal(table.Len(), 1)
}

type nopCloser struct{ io.Closer }

// TestTableStaysConsistent makes random moves: neither bound is passed, except by
// a connection that is the only one to hold anything, and the sums are right.
func TestTableStaysConsistent(t *testing.T) {
	for seed := range uint64(50) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			is := is.New(t)
			random := rand.New(rand.NewPCG(seed, 0))
			table := NewTable(Options{MaxConnections: 1 + random.IntN(8), MaxBytes: 100})
			var conns []*Conn
			now := start
			for range 400 {
				now = now.Add(time.Duration(random.IntN(400)) * time.Millisecond)
				if len(conns) == 0 || random.IntN(4) == 0 {
					if c, _ := table.Open(now, nopCloser{}); c != nil {
						conns = append(conns, c)
					}
				}
				c := conns[random.IntN(len(conns))]
				switch random.IntN(5) {
				case 0:
					table.Remove(c)
				case 1, 2:
					table.Enter(now, c, Phase(random.IntN(int(Lingering)+1)))
				case 3:
					_, _ = table.Reserve(now, c, int64(random.IntN(60)))
				case 4:
					table.Release(c, int64(random.IntN(60)))
				}
				var held int64
				holders := 0
				for _, x := range conns {
					held += x.Held()
					if x.Held() > 0 {
						holders++
					}
				}
				is.Equal(table.Held(), held)
				is.True(held <= 100 || holders == 1)
				is.True(table.Len() <= table.opts.MaxConnections)
			}
		})
	}
}
