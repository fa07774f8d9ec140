package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	leaveClients  = 10
	leaveRequests = 10
	// One request in leaveEvery leaves: 20%.
	leaveEvery = 5
	leaveAfter = 100 * time.Millisecond
)

// playLeave has some clients leave before their deadline: they close the sending
// side of their connection and read what still comes.
func playLeave(r *recorder, trouble bool) (bool, error) {
	f, err := startBilling(r, billingRoute(), 3)
	if f != nil {
		defer f.stop()
	}
	if err != nil {
		return false, err
	}
	var (
		clients sync.WaitGroup
		mu      sync.Mutex
		broken  bool
		failure error
	)
	began := time.Now()
	for i := range leaveClients {
		clients.Add(1)
		go func() {
			defer clients.Done()
			for j := range leaveRequests {
				id := fmt.Sprintf("lookup-%d-%d", i, j)
				isLeaving := trouble && (i+j)%leaveEvery == 0
				a, err := sendAndLeave(r, f.gateways[(i+j)%len(f.gateways)], id, isLeaving)
				mu.Lock()
				if err != nil {
					failure = err
				}
				if a.status/100 == 2 && !f.isAnswered(id, a) {
					r.add("%s: a success that no server gave", id)
					broken = true
				}
				mu.Unlock()
			}
		}()
	}
	clients.Wait()
	r.add("all requests have ended within %.1f s", time.Since(began).Seconds())
	return broken, failure
}

// sendAndLeave sends a request that takes 300 ms and returns what came back. A
// client that leaves closes its sending side soon after the request.
func sendAndLeave(r *recorder, g *gateway, id string, isLeaving bool) (answer, error) {
	c, err := net.DialTimeout("tcp", g.front, time.Second)
	if err != nil {
		return answer{}, err
	}
	defer c.Close()
	if _, err := c.Write(requestBytes("GET", "/w/300/"+id, id, 15*time.Second, nil)); err != nil {
		return answer{}, err
	}
	r.add("client sends %s to %s", id, g.name)
	if isLeaving {
		time.Sleep(leaveAfter)
		if err := c.(*net.TCPConn).CloseWrite(); err != nil {
			return answer{}, err
		}
		r.add("client of %s leaves", id)
	}
	a := readAnswer(c, bufio.NewReader(c), 16*time.Second)
	r.add("client got for %s: %v", id, a)
	return a, nil
}

// isAnswered reports whether a server has given this success.
func (f *fleet) isAnswered(id string, a answer) bool {
	for _, x := range f.runs.of(id) {
		if x.result == resultAnswered && a.status == http.StatusOK && a.header.Get(headers.Signature) == sealOf(id, x.server) &&
			string(a.body) == string(answerOf(id, x.service)) {
			return true
		}
	}
	return false
}
