package control

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"net/netip"
	"sort"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/figmast/figmast/configstore"
	"github.com/figmast/figmast/document"
	"github.com/figmast/figmast/view"
)

// maxGone is how many removals a host keeps for peers that lag; a peer that
// lags further gets the whole digest.
const maxGone = 256

// HostEntry is a host as the platform publishes it, in JSON.
type HostEntry struct {
	// Address is the IP number and port where peers reach the host.
	Address    string `json:"address" cbor:"1,keyasint"`
	DataCentre string `json:"data_centre" cbor:"2,keyasint"`
	Leaving    bool   `json:"leaving,omitempty" cbor:"3,keyasint,omitempty"`
}

// Verdict is what became of one published value.
type Verdict struct {
	Key      string
	Revision int64
	// Err tells why the value was refused; nil when it is in force.
	Err error
}

// service is what is known of one service's key.
type service struct {
	order Precedence
	// doc and packed are nil while no document was accepted.
	doc    *document.Service
	packed []byte
}

// listed is one entry of the platform's host list.
type listed struct {
	revision int64
	refused  bool
	entry    HostEntry
}

// table is the configuration that a host holds. It reflects every change up
// to its revision; a key that it lacks was removed by then, so that no list of
// removed services is needed to keep them from coming back.
type table struct {
	revision int64
	services map[string]*service
	hosts    map[string]listed
	// gone are the latest removals, oldest first; all after goneFrom.
	gone     []Tombstone
	goneFrom int64
	// sum is the hash of the table; changed is set when it is out of date.
	sum     uint64
	changed bool
}

func newTable() *table {
	return &table{services: make(map[string]*service), hosts: make(map[string]listed), changed: true}
}

// removed reports whether a key that the table lacks was removed after that
// revision.
func (t *table) removed(revision int64) bool { return revision <= t.revision }

// put takes in one published value.
func (t *table) put(kv configstore.KeyValue) Verdict {
	key := string(kv.Key)
	v := Verdict{Key: key, Revision: int64(kv.ModRevision)}
	switch {
	case strings.HasPrefix(key, configstore.PrefixServices):
		v.Err = t.putService(strings.TrimPrefix(key, configstore.PrefixServices), kv)
	case strings.HasPrefix(key, configstore.PrefixHosts):
		v.Err = t.putHost(strings.TrimPrefix(key, configstore.PrefixHosts), kv)
	}
	return v
}

func (t *table) putService(name string, kv configstore.KeyValue) error {
	order := Precedence{Created: int64(kv.CreateRevision), Revision: int64(kv.ModRevision)}
	old := t.services[name]
	if old == nil && t.removed(order.Revision) {
		return nil
	}
	if old != nil && old.order.Created == order.Created && old.order.Revision == order.Revision {
		return nil
	}
	doc, err := parseFor(name, kv.Value)
	if err != nil {
		t.note(name, order)
		return err
	}
	order.Version = doc.Version
	if old != nil && !order.Supersedes(old.order) {
		return refusal(order, old.order)
	}
	t.set(name, &service{order: order, doc: doc, packed: pack(kv.Value)})
	return nil
}

// note records a key whose published document was refused, so that its
// service does not count as removed.
func (t *table) note(name string, order Precedence) {
	if old := t.services[name]; old == nil || order.Created > old.order.Created {
		t.set(name, &service{order: order})
	}
}

func parseFor(name string, text []byte) (*document.Service, error) {
	doc, err := document.Parse(text)
	if err != nil {
		return nil, err
	}
	if doc.Name != name {
		return nil, fmt.Errorf("service: the document names %q but stands under %q", doc.Name, name)
	}
	return doc, nil
}

// refusal tells why a document does not replace the one in force. A document
// that is in force already is no error.
func refusal(order, inForce Precedence) error {
	switch {
	case order.Created < inForce.Created:
		return fmt.Errorf("version: the service was removed after revision %d", order.Revision)
	case order.Version < inForce.Version:
		return fmt.Errorf("version: %d is not above %d, which is in force", order.Version, inForce.Version)
	default:
		return fmt.Errorf("version: %d was published before, at revision %d, and is in force", order.Version, inForce.Revision)
	}
}

func (t *table) set(name string, s *service) {
	t.services[name] = s
	t.changed = true
}

func (t *table) putHost(id string, kv configstore.KeyValue) error {
	l := listed{revision: int64(kv.ModRevision)}
	err := json.Unmarshal(kv.Value, &l.entry)
	if err == nil {
		_, err = netip.ParseAddrPort(l.entry.Address)
	}
	l.refused = err != nil
	if l.refused {
		l.entry = HostEntry{}
		err = fmt.Errorf("host %s: %w", id, err)
	}
	if !t.list(id, l) {
		return nil
	}
	return err
}

// list takes in an entry of the host list and reports whether it was news.
func (t *table) list(id string, l listed) bool {
	old, known := t.hosts[id]
	if known && l.revision <= old.revision || !known && t.removed(l.revision) {
		return false
	}
	t.hosts[id] = l
	t.changed = true
	return true
}

// remove drops a key that was removed at a revision and reports whether that
// was news.
func (t *table) remove(g Tombstone) bool {
	name, isService := strings.CutPrefix(g.Key, configstore.PrefixServices)
	id, isHost := strings.CutPrefix(g.Key, configstore.PrefixHosts)
	switch {
	case isService && t.services[name] != nil && t.services[name].order.Revision < g.Revision:
		delete(t.services, name)
	case isHost && t.hosts[id].revision != 0 && t.hosts[id].revision < g.Revision:
		delete(t.hosts, id)
	default:
		return false
	}
	t.changed = true
	t.remember(g)
	return true
}

func (t *table) remember(g Tombstone) {
	t.gone = append(t.gone, g)
	if len(t.gone) > maxGone {
		t.goneFrom = max(t.goneFrom, t.gone[0].Revision)
		t.gone = append([]Tombstone(nil), t.gone[1:]...)
	}
}

// prune drops what a whole digest at a later revision lacks, and returns the
// keys.
func (t *table) prune(revision int64, services, hosts map[string]bool) []string {
	var keys []string
	for name, s := range t.services {
		if !services[name] && s.order.Revision <= revision {
			keys = append(keys, configstore.PrefixServices+name)
		}
	}
	for id, l := range t.hosts {
		if !hosts[id] && l.revision <= revision {
			keys = append(keys, configstore.PrefixHosts+id)
		}
	}
	sort.Strings(keys)
	for _, key := range keys {
		t.remove(Tombstone{Key: key, Revision: revision + 1})
	}
	return keys
}

// hash identifies what the table holds, whatever its revision.
func (t *table) hash() uint64 {
	if !t.changed {
		return t.sum
	}
	t.sum = 0
	for name, s := range t.services {
		t.sum ^= mix("s"+name, uint64(s.order.Created), s.order.Version, uint64(s.order.Revision))
	}
	for id, l := range t.hosts {
		t.sum ^= mix("h"+id, uint64(l.revision), 0, 0)
	}
	t.changed = false
	return t.sum
}

func mix(name string, a, b, c uint64) uint64 {
	buf := make([]byte, 0, len(name)+24)
	buf = append(buf, name...)
	buf = binary.LittleEndian.AppendUint64(buf, a)
	buf = binary.LittleEndian.AppendUint64(buf, b)
	buf = binary.LittleEndian.AppendUint64(buf, c)
	return xxhash.Sum64(buf)
}

// documents returns the documents in force by service name.
func (t *table) documents() map[string]*document.Service {
	out := make(map[string]*document.Service, len(t.services))
	for name, s := range t.services {
		if s.doc != nil {
			out[name] = s.doc
		}
	}
	return out
}

// host returns the host of an entry.
func (l listed) host(id string) view.Host {
	return view.Host{ID: id, Address: l.entry.Address, DataCentre: l.entry.DataCentre, Leaving: l.entry.Leaving}
}
