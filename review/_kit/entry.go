package main

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/figmast/figmast/route"
)

const (
	foreignID = "i-other"
	// entryLasts is how long the entry of the other writer stays in the store.
	entryLasts = 6 * time.Second
	// addressMark stands for the address in the text of the entry.
	addressMark = "ADDRESS"
)

// rewriter serves the store, with another value for the entry of foreignID.
type rewriter struct {
	store http.Handler
	mu    sync.Mutex
	value string
}

func (w *rewriter) set(value string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.value = value
}

// ServeHTTP implements http.Handler.
func (w *rewriter) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	got := httptest.NewRecorder()
	w.store.ServeHTTP(got, r)
	body := got.Body.Bytes()
	var parsed map[string]any
	if json.Unmarshal(body, &parsed) == nil {
		for _, list := range parsed {
			w.rewrite(list)
		}
		if b, err := json.Marshal(parsed); err == nil {
			body = b
		}
	}
	for name, values := range got.Header() {
		out.Header()[name] = values
	}
	out.WriteHeader(got.Code)
	_, _ = out.Write(body) // the host may have given up
}

func (w *rewriter) rewrite(list any) {
	items, _ := list.([]any)
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, it := range items {
		item, _ := it.(map[string]any)
		if key, _ := item["key"].(string); strings.HasSuffix(key, "/"+foreignID) && item["value"] != nil {
			item["value"] = base64.StdEncoding.EncodeToString([]byte(w.value))
		}
	}
}

// webServer is a plain HTTP server that is no backend server.
func (b *bed) webServer() (address string, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b.record("web server, which is no backend server: gets %s %s %s", r.Header.Get(headers.RequestID), r.Method, r.RequestURI)
		_, _ = w.Write([]byte("It works!\n")) // the caller may have given up
	})}
	go func() { _ = s.Serve(l) }() // ends with the case
	b.closers = append(b.closers, func() { _ = s.Close() })
	return l.Addr().String(), nil
}

// entryOfAnotherWriter has another writer put an entry without some of the fields
// into the directory of the servers.
func entryOfAnotherWriter(b *bed) ([]string, error) {
	text, err := os.ReadFile(os.Getenv("REVIEW_ENTRY"))
	if err != nil {
		return nil, err
	}
	if err := b.addHosts(3); err != nil {
		return nil, err
	}
	b.store.PutConfig(configOf(
		plainRoute("lookup", plainPrefix, "desk", true, 3*time.Second, 200*time.Millisecond),
		plainRoute("booking", oncePrefix, "desk", false, 3*time.Second, 200*time.Millisecond)))
	var leafs []*leaf
	for i := range 3 {
		l, err := b.addLeaf(fmt.Sprintf("i-desk%d", i+1), "desk", fmt.Sprintf("zone-%d", i+1), answerAtOnce)
		if err != nil {
			return nil, err
		}
		leafs = append(leafs, l)
	}
	address, err := b.webServer()
	if err != nil {
		return nil, err
	}
	if err := b.startAll(); err != nil {
		return nil, err
	}
	var mu sync.Mutex
	var broken []string
	done := make(chan struct{})
	var clients sync.WaitGroup
	for n := range 9 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			kind, method := plainPrefix, http.MethodGet
			if n%2 == 1 {
				kind, method = oncePrefix, http.MethodPost
			}
			askUntil(done, b, n, method, kind, func(id string, r reply) {
				if s := foreignAnswer(leafs, id, r); s != "" {
					mu.Lock()
					defer mu.Unlock()
					broken = append(broken, s)
				}
			})
		}()
	}
	time.Sleep(3 * time.Second)
	if b.trouble {
		value := strings.ReplaceAll(strings.TrimSpace(string(text)), addressMark, address)
		b.rewriter.set(value)
		b.store.PutServer(route.Server{ID: foreignID})
		b.record("another writer puts the entry %s: %s", foreignID, value)
	}
	time.Sleep(entryLasts)
	b.store.RemoveServer(foreignID)
	b.record("the entry %s is removed", foreignID)
	time.Sleep(2 * time.Second)
	close(done)
	clients.Wait()
	return broken, nil
}

// foreignAnswer tells what is wrong with a success that is not a server's answer.
func foreignAnswer(leafs []*leaf, id string, r reply) string {
	if r.status < 200 || r.status > 299 {
		return ""
	}
	seal := r.header.Get(headers.Signature)
	for _, l := range leafs {
		if seal == l.entry.ID+"."+id && r.body == "body of "+id {
			return ""
		}
	}
	return fmt.Sprintf("MIXED: the client of %s got %v, which is no server's answer to it", id, r)
}

// askUntil sends requests to one host until done is closed.
func askUntil(done chan struct{}, b *bed, n int, method, prefix string, report func(string, reply)) {
	h := b.hosts[n%len(b.hosts)]
	for i := 0; ; i++ {
		select {
		case <-done:
			return
		case <-time.After(60 * time.Millisecond):
		}
		id := fmt.Sprintf("c%02d-%05d", n, i)
		r := h.ask(method, prefix+id, id, 3*time.Second, "")
		b.record("client %d: %s %s at %s got %v", n, id, method, h.Name, r)
		report(id, r)
	}
}
