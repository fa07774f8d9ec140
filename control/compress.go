package control

import (
	"bytes"
	"compress/flate"
	"errors"
	"io"

	"github.com/figmast/figmast/document"
)

// compress compresses a document for transfer to peers.
func compress(text []byte) []byte {
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		panic(err) // cannot happen: the level is constant and valid
	}
	_, _ = w.Write(text) // writing to a bytes.Buffer never fails
	_ = w.Close()
	return b.Bytes()
}

// decompress returns the document compressed by compress. It refuses documents
// of more than document.MaxBytes.
func decompress(compressed []byte) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(compressed))
	text, err := io.ReadAll(io.LimitReader(r, document.MaxBytes+1))
	if err != nil {
		return nil, err
	}
	if len(text) > document.MaxBytes {
		return nil, errors.New("document: too large")
	}
	return text, nil
}
