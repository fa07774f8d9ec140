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

// maxTombstones is how many removals a host keeps for peers that lag behind. A
// peer that lags further gets the full digest.
const maxTombstones = 256

// HostEntry is a host as published on the platform, in JSON.
type HostEntry struct {
	// Address is the IP address and port at which peers reach the host.
	Address    string `json:"address" cbor:"1,keyasint"`
	DataCentre string `json:"data_centre" cbor:"2,keyasint"`
	Leaving    bool   `json:"leaving,omitempty" cbor:"3,keyasint,omitempty"`
}

// Verdict is the result of validating one published value.
type Verdict struct {
	Key      string
	Revision int64
	// Err is why the value was refused, or nil if it is in force.
	Err error
}

// serviceEntry is the state of one service's key.
type serviceEntry struct {
	precedence Precedence
	// doc and compressed are nil while no document was accepted.
	doc        *document.Service
	compressed []byte
}

// listedHost is one entry of the platform's host list.
type listedHost struct {
	revision  int64
	refused   bool
	published HostEntry
}

// table is the configuration that a host holds. It reflects every change up to
// its revision. A key that it lacks was therefore removed by then, which keeps
// a removed service from being added again without an unbounded list of removed
// ones.
type table struct {
	revision int64
	services map[string]*serviceEntry
	hosts    map[string]listedHost
	// tombstones are the latest removals, oldest first. They are complete for
	// revisions after tombstonesFrom.
	tombstones     []Tombstone
	tombstonesFrom int64
	// cachedHash is the hash of the table unless hashIsOutdated is set.
	cachedHash     uint64
	hashIsOutdated bool
}

func newTable() *table {
	return &table{services: make(map[string]*serviceEntry), hosts: make(map[string]listedHost), hashIsOutdated: true}
}

// isRemoved reports whether a key that was published at the given revision and
// is not in the table has been removed since.
func (t *table) isRemoved(revision int64) bool { return revision <= t.revision }

// put applies one published value.
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
	precedence := Precedence{Created: int64(kv.CreateRevision), Revision: int64(kv.ModRevision)}
	old := t.services[name]
	if old == nil && t.isRemoved(precedence.Revision) {
		return nil
	}
	if old != nil && old.precedence.Created == precedence.Created && old.precedence.Revision == precedence.Revision {
		return nil
	}
	doc, err := parseServiceDocument(name, kv.Value)
	if err != nil {
		t.recordRefused(name, precedence)
		return err
	}
	precedence.Version = doc.Version
	if old != nil && !precedence.Supersedes(old.precedence) {
		return precedenceError(precedence, old.precedence)
	}
	t.setService(name, &serviceEntry{precedence: precedence, doc: doc, compressed: compress(kv.Value)})
	return nil
}

// recordRefused keeps the key of a service whose published document was
// refused, so that the service does not count as removed. A document that is in
// force stays, unless the key was created anew.
func (t *table) recordRefused(name string, precedence Precedence) {
	if old := t.services[name]; old == nil || precedence.Created > old.precedence.Created {
		t.setService(name, &serviceEntry{precedence: precedence})
	}
}

// parseServiceDocument parses a document and checks that it belongs to the
// named service.
func parseServiceDocument(name string, text []byte) (*document.Service, error) {
	doc, err := document.Parse(text)
	if err != nil {
		return nil, err
	}
	if doc.Name != name {
		return nil, fmt.Errorf("service: the document names %q but is published under %q", doc.Name, name)
	}
	return doc, nil
}

// precedenceError explains why a document does not replace the one in force. It
// must not be called for the document that is in force already.
func precedenceError(refused, inForce Precedence) error {
	switch {
	case refused.Created < inForce.Created:
		return fmt.Errorf("version: the service was removed after revision %d", refused.Revision)
	case refused.Version < inForce.Version:
		return fmt.Errorf("version: %d is not above %d, which is in force", refused.Version, inForce.Version)
	default:
		return fmt.Errorf("version: %d was published before, at revision %d, and is in force", refused.Version, inForce.Revision)
	}
}

func (t *table) setService(name string, s *serviceEntry) {
	t.services[name] = s
	t.hashIsOutdated = true
}

func (t *table) putHost(id string, kv configstore.KeyValue) error {
	entry := listedHost{revision: int64(kv.ModRevision)}
	err := json.Unmarshal(kv.Value, &entry.published)
	if err == nil {
		_, err = netip.ParseAddrPort(entry.published.Address)
	}
	entry.refused = err != nil
	if entry.refused {
		entry.published = HostEntry{}
		err = fmt.Errorf("host %s: %w", id, err)
	}
	if !t.updateHost(id, entry) {
		return nil
	}
	return err
}

// updateHost applies an entry of the platform's host list and reports whether
// the table changed.
func (t *table) updateHost(id string, entry listedHost) bool {
	old, known := t.hosts[id]
	if known && entry.revision <= old.revision || !known && t.isRemoved(entry.revision) {
		return false
	}
	t.hosts[id] = entry
	t.hashIsOutdated = true
	return true
}

// remove applies the removal of a key and reports whether the table changed.
func (t *table) remove(tombstone Tombstone) bool {
	name, isService := strings.CutPrefix(tombstone.Key, configstore.PrefixServices)
	id, isHost := strings.CutPrefix(tombstone.Key, configstore.PrefixHosts)
	switch {
	case isService && t.services[name] != nil && t.services[name].precedence.Revision < tombstone.Revision:
		delete(t.services, name)
	case isHost && t.hosts[id].revision != 0 && t.hosts[id].revision < tombstone.Revision:
		delete(t.hosts, id)
	default:
		return false
	}
	t.hashIsOutdated = true
	t.addTombstone(tombstone)
	return true
}

// addTombstone keeps the latest maxTombstones removals.
func (t *table) addTombstone(tombstone Tombstone) {
	t.tombstones = append(t.tombstones, tombstone)
	if len(t.tombstones) > maxTombstones {
		t.tombstonesFrom = max(t.tombstonesFrom, t.tombstones[0].Revision)
		t.tombstones = append([]Tombstone(nil), t.tombstones[1:]...)
	}
}

// prune removes the keys that a full digest of the given revision lacks, and
// returns them.
func (t *table) prune(revision int64, services, hosts map[string]bool) []string {
	var keys []string
	for name, s := range t.services {
		if !services[name] && s.precedence.Revision <= revision {
			keys = append(keys, configstore.PrefixServices+name)
		}
	}
	for id, entry := range t.hosts {
		if !hosts[id] && entry.revision <= revision {
			keys = append(keys, configstore.PrefixHosts+id)
		}
	}
	sort.Strings(keys)
	for _, key := range keys {
		t.remove(Tombstone{Key: key, Revision: revision + 1})
	}
	return keys
}

// hash identifies the contents of the table independently of its revision.
func (t *table) hash() uint64 {
	if !t.hashIsOutdated {
		return t.cachedHash
	}
	t.cachedHash = 0
	for name, s := range t.services {
		t.cachedHash ^= hashEntry("s"+name, uint64(s.precedence.Created), s.precedence.Version, uint64(s.precedence.Revision))
	}
	for id, entry := range t.hosts {
		t.cachedHash ^= hashEntry("h"+id, uint64(entry.revision), 0, 0)
	}
	t.hashIsOutdated = false
	return t.cachedHash
}

func hashEntry(name string, a, b, c uint64) uint64 {
	buf := make([]byte, 0, len(name)+24)
	buf = append(buf, name...)
	buf = binary.LittleEndian.AppendUint64(buf, a)
	buf = binary.LittleEndian.AppendUint64(buf, b)
	buf = binary.LittleEndian.AppendUint64(buf, c)
	return xxhash.Sum64(buf)
}

// documents returns the documents in force, by service name.
func (t *table) documents() map[string]*document.Service {
	out := make(map[string]*document.Service, len(t.services))
	for name, s := range t.services {
		if s.doc != nil {
			out[name] = s.doc
		}
	}
	return out
}

// host returns the entry as a view.Host.
func (h listedHost) host(id string) view.Host {
	return view.Host{ID: id, Address: h.published.Address, DataCentre: h.published.DataCentre, Leaving: h.published.Leaving}
}
