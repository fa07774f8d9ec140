package control

import (
	"fmt"
	"sort"

	"github.com/figmast/figmast/configstore"
	"github.com/figmast/figmast/document"
)

// maxCompressedBytes bounds the documents in one response. One document always
// fits, because flate adds only a few bytes to incompressible data.
const maxCompressedBytes = document.MaxBytes + 4<<10

// fillDigest adds to a response what the requester lacks.
func (t *table) fillDigest(req *SyncRequest, res *SyncResponse) {
	res.Revision, res.Hash = t.revision, t.hash()
	if req.Revision >= t.revision && !req.Full && len(req.WantDocuments) == 0 {
		return
	}
	res.Full = req.Full || req.Revision < t.tombstonesFrom || req.Revision == 0
	from := req.Revision
	if res.Full {
		from = -1
	}
	t.fillServices(from, req, res)
	t.fillHosts(from, res)
	if res.Full {
		return
	}
	for _, tombstone := range t.tombstones {
		if tombstone.Revision > from {
			res.Tombstones = append(res.Tombstones, tombstone)
		}
	}
}

// fillServices adds the services that changed after a revision or whose
// documents are wanted. It includes the documents themselves only where they
// are wanted or the response is not a full digest, up to maxCompressedBytes.
func (t *table) fillServices(from int64, req *SyncRequest, res *SyncResponse) {
	wanted := make(map[string]bool, len(req.WantDocuments))
	for _, name := range req.WantDocuments {
		wanted[name] = true
	}
	for name, s := range t.services {
		if s.precedence.Revision > from || wanted[name] {
			res.Services = append(res.Services, ServiceDigest{Name: name, Precedence: s.precedence})
		}
	}
	sort.Slice(res.Services, func(i, j int) bool { return res.Services[i].Name < res.Services[j].Name })
	remaining := maxCompressedBytes
	for i := range res.Services {
		d := &res.Services[i]
		compressed := t.services[d.Name].compressed
		if (wanted[d.Name] || !res.Full && len(req.WantDocuments) == 0) && len(compressed) <= remaining {
			d.Compressed = compressed
			remaining -= len(compressed)
		}
	}
}

func (t *table) fillHosts(from int64, res *SyncResponse) {
	for id, h := range t.hosts {
		if h.revision > from {
			res.Hosts = append(res.Hosts, HostDigest{ID: id, Revision: h.revision, Refused: h.refused, Entry: h.published})
		}
	}
	sort.Slice(res.Hosts, func(i, j int) bool { return res.Hosts[i].ID < res.Hosts[j].ID })
}

// merge applies a peer's configuration. It returns the verdicts on the
// documents, the keys that were removed, and the services whose documents must
// still be fetched. While any are missing, the table keeps its revision.
func (t *table) merge(res *SyncResponse) (verdicts []Verdict, removed, missing []string) {
	for _, d := range res.Services {
		v, fetched := t.mergeService(d)
		if !fetched {
			missing = append(missing, d.Name)
		}
		if v.Key != "" {
			verdicts = append(verdicts, v)
		}
	}
	for _, h := range res.Hosts {
		t.updateHost(h.ID, listedHost{revision: h.Revision, refused: h.Refused, published: h.Entry})
	}
	for _, tombstone := range res.Tombstones {
		if t.remove(tombstone) {
			removed = append(removed, tombstone.Key)
		}
	}
	if len(missing) > 0 || res.Revision <= t.revision {
		return verdicts, removed, missing
	}
	if res.Full {
		removed = append(removed, t.prune(res.Revision, serviceNames(res.Services), hostIDs(res.Hosts))...)
	}
	t.revision = res.Revision
	return verdicts, removed, nil
}

// mergeService applies one document. It returns fetched = false if the document
// is needed but was not sent. The verdict has a key only if a document was
// validated.
func (t *table) mergeService(d ServiceDigest) (v Verdict, fetched bool) {
	old := t.services[d.Name]
	if old == nil && t.isRemoved(d.Precedence.Revision) || old != nil && !d.Precedence.Supersedes(old.precedence) {
		return v, true
	}
	if d.Precedence.Version == 0 {
		t.setService(d.Name, &serviceEntry{precedence: d.Precedence})
		return v, true
	}
	if len(d.Compressed) == 0 {
		return v, false
	}
	v = Verdict{Key: configstore.PrefixServices + d.Name, Revision: d.Precedence.Revision}
	v.Err = t.decompressService(d)
	return v, true
}

func (t *table) decompressService(d ServiceDigest) error {
	text, err := decompress(d.Compressed)
	if err != nil {
		return err
	}
	doc, err := parseServiceDocument(d.Name, text)
	if err != nil {
		return err
	}
	if doc.Version != d.Precedence.Version {
		return fmt.Errorf("version: the document has %d, but the peer announced %d", doc.Version, d.Precedence.Version)
	}
	t.setService(d.Name, &serviceEntry{precedence: d.Precedence, doc: doc, compressed: d.Compressed})
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
