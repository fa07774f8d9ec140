package control

// Precedence says which of two documents of a service is in force. It is total, and
// it does not depend on the order in which a host hears of them.
type Precedence struct {
	// Created is the platform's revision at which the key was created. A
	// service that was removed and published again starts anew.
	Created int64 `cbor:"1,keyasint"`
	// Version of the document; 0 while none was accepted since Created.
	Version uint64 `cbor:"2,keyasint"`
	// Revision at which the document was published. Of two documents with one
	// version the first holds; the second was refused.
	Revision int64 `cbor:"3,keyasint"`
}

// Supersedes reports whether a document with order a replaces one with order b.
func (a Precedence) Supersedes(b Precedence) bool {
	if a.Created != b.Created {
		return a.Created > b.Created
	}
	if a.Version != b.Version {
		return a.Version > b.Version
	}
	return a.Revision < b.Revision
}
