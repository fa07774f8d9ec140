package control

import (
	"bytes"
	"compress/flate"
	"errors"
	"io"

	"github.com/figmast/figmast/document"
)

// pack compresses a document for its way to peers.
func pack(text []byte) []byte {
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		panic(err) // the level is constant
	}
	_, _ = w.Write(text) // a bytes.Buffer takes all
	_ = w.Close()
	return b.Bytes()
}

// unpack reads a packed document of at most document.MaxBytes.
func unpack(packed []byte) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(packed))
	text, err := io.ReadAll(io.LimitReader(r, document.MaxBytes+1))
	if err != nil {
		return nil, err
	}
	if len(text) > document.MaxBytes {
		return nil, errors.New("document: too large")
	}
	return text, nil
}
