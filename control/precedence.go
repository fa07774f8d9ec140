package control

// Precedence determines which of two documents of a service is in force. It is
// a total order and does not depend on the sequence in which a host learns of
// the documents.
type Precedence struct {
	// Created is the platform revision at which the key was created. A service
	// that was removed and published again starts over: any version may follow.
	Created int64 `cbor:"1,keyasint"`
	// Version is the document's version, or 0 if none was accepted since
	// Created.
	Version uint64 `cbor:"2,keyasint"`
	// Revision is the platform revision at which the document was published. Of
	// two documents with the same version the first stays in force and the
	// second is refused.
	Revision int64 `cbor:"3,keyasint"`
}

// Supersedes reports whether a document with precedence a replaces one with
// precedence b.
func (p Precedence) Supersedes(b Precedence) bool {
	if p.Created != b.Created {
		return p.Created > b.Created
	}
	if p.Version != b.Version {
		return p.Version > b.Version
	}
	return p.Revision < b.Revision
}
