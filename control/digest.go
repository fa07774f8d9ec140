package control

import (
	"fmt"
	"sort"

	"github.com/figmast/figmast/configstore"
	"github.com/figmast/figmast/document"
)

// maxPackedBytes bounds the documents in one answer. One document always
// fits: flate adds a few bytes at most.
const maxPackedBytes = document.MaxBytes + 4<<10

// digest fills in an answer what the asker lacks.
func (t *table) digest(a *SyncRequest, out *SyncResponse) {
	out.Revision, out.Hash = t.revision, t.hash()
	if a.Revision >= t.revision && !a.Full && len(a.WantDocuments) == 0 {
		return
	}
	out.Full = a.Full || a.Revision < t.goneFrom || a.Revision == 0
	from := a.Revision
	if out.Full {
		from = -1
	}
	t.fillServices(from, a, out)
	t.fillHosts(from, out)
	if out.Full {
		return
	}
	for _, g := range t.gone {
		if g.Revision > from {
			out.Tombstones = append(out.Tombstones, g)
		}
	}
}

func (t *table) fillServices(from int64, a *SyncRequest, out *SyncResponse) {
	wanted := make(map[string]bool, len(a.WantDocuments))
	for _, name := range a.WantDocuments {
		wanted[name] = true
	}
	for name, s := range t.services {
		if s.order.Revision > from || wanted[name] {
			out.Services = append(out.Services, ServiceDigest{Name: name, Precedence: s.order})
		}
	}
	sort.Slice(out.Services, func(i, j int) bool { return out.Services[i].Name < out.Services[j].Name })
	left := maxPackedBytes
	for i := range out.Services {
		d := &out.Services[i]
		packed := t.services[d.Name].packed
		if (wanted[d.Name] || !out.Full && len(a.WantDocuments) == 0) && len(packed) <= left {
			d.Compressed = packed
			left -= len(packed)
		}
	}
}

func (t *table) fillHosts(from int64, out *SyncResponse) {
	for id, l := range t.hosts {
		if l.revision > from {
			out.Hosts = append(out.Hosts, HostDigest{ID: id, Revision: l.revision, Refused: l.refused, Entry: l.entry})
		}
	}
	sort.Slice(out.Hosts, func(i, j int) bool { return out.Hosts[i].ID < out.Hosts[j].ID })
}

// merge takes in what a peer holds. It returns what became of the documents,
// the keys that were removed, and the services whose documents must still be
// fetched; until there are none, the table keeps its revision.
func (t *table) merge(a *SyncResponse) (verdicts []Verdict, removed, missing []string) {
	for _, d := range a.Services {
		v, fetched := t.mergeService(d)
		if !fetched {
			missing = append(missing, d.Name)
		}
		if v.Key != "" {
			verdicts = append(verdicts, v)
		}
	}
	for _, h := range a.Hosts {
		t.list(h.ID, listed{revision: h.Revision, refused: h.Refused, entry: h.Entry})
	}
	for _, g := range a.Tombstones {
		if t.remove(g) {
			removed = append(removed, g.Key)
		}
	}
	if len(missing) > 0 || a.Revision <= t.revision {
		return verdicts, removed, missing
	}
	if a.Full {
		removed = append(removed, t.prune(a.Revision, serviceNames(a.Services), hostIDs(a.Hosts))...)
	}
	t.revision = a.Revision
	return verdicts, removed, nil
}

// mergeService takes in one document; fetched is false when it is needed and
// was not sent.
func (t *table) mergeService(d ServiceDigest) (v Verdict, fetched bool) {
	old := t.services[d.Name]
	if old == nil && t.removed(d.Precedence.Revision) || old != nil && !d.Precedence.Supersedes(old.order) {
		return v, true
	}
	if d.Precedence.Version == 0 {
		t.set(d.Name, &service{order: d.Precedence})
		return v, true
	}
	if len(d.Compressed) == 0 {
		return v, false
	}
	v = Verdict{Key: configstore.PrefixServices + d.Name, Revision: d.Precedence.Revision}
	v.Err = t.unpackService(d)
	return v, true
}

func (t *table) unpackService(d ServiceDigest) error {
	text, err := unpack(d.Compressed)
	if err != nil {
		return err
	}
	doc, err := parseFor(d.Name, text)
	if err != nil {
		return err
	}
	if doc.Version != d.Precedence.Version {
		return fmt.Errorf("version: %d, announced as %d", doc.Version, d.Precedence.Version)
	}
	t.set(d.Name, &service{order: d.Precedence, doc: doc, packed: d.Compressed})
	return nil
}

func serviceNames(list []ServiceDigest) map[string]bool {
	out := make(map[string]bool, len(list))
	for _, d := range list {
		out[d.Name] = true
	}
	return out
}

func hostIDs(list []HostDigest) map[string]bool {
	out := make(map[string]bool, len(list))
	for _, d := range list {
		out[d.ID] = true
	}
	return out
}
