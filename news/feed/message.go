package feed

import (
	"bytes"
	"compress/flate"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/fxamacker/cbor/v2"
)

const (
	// maxMessageBytes bounds one message. A message may hold every entry of a
	// deployment of the size expected in two years: 3,300 servers of about 250
	// bytes each and the configuration.
	maxMessageBytes = 16 << 20
	// compressThreshold is the size from which a message is compressed: links
	// of 20 Mbit/s carry the same message to dozens of hosts.
	compressThreshold = 2 << 10
)

// Encodings of a message's body.
const (
	encodingPlain   byte = 0
	encodingDeflate byte = 1
)

// encodeMessage returns a message with its header: the length and the encoding.
func encodeMessage(m any) ([]byte, error) {
	body, err := cbor.Marshal(m)
	if err != nil {
		return nil, err
	}
	encoding := encodingPlain
	if len(body) >= compressThreshold {
		if body, err = deflate(body); err != nil {
			return nil, err
		}
		encoding = encodingDeflate
	}
	b := binary.BigEndian.AppendUint32(make([]byte, 0, len(body)+5), uint32(len(body)+1))
	return append(append(b, encoding), body...), nil
}

func deflate(body []byte) ([]byte, error) {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(body); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

// writeMessage sends one message.
func writeMessage(conn net.Conn, m any) error {
	b, err := encodeMessage(m)
	if err != nil {
		return err
	}
	return writeBytes(conn, b)
}

func writeBytes(conn net.Conn, b []byte) error {
	if err := conn.SetWriteDeadline(time.Now().Add(answerTimeout)); err != nil {
		return err
	}
	_, err := conn.Write(b)
	return err
}

// readMessage reads one message.
func readMessage(r io.Reader, into any) error {
	var head [5]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return err
	}
	n := binary.BigEndian.Uint32(head[:4])
	if n == 0 || n > maxMessageBytes {
		return fmt.Errorf("message length %d is out of range", n)
	}
	body := make([]byte, n-1)
	if _, err := io.ReadFull(r, body); err != nil {
		return err
	}
	switch head[4] {
	case encodingPlain:
	case encodingDeflate:
		var err error
		if body, err = io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(body)), maxMessageBytes)); err != nil {
			return err
		}
	default:
		return fmt.Errorf("unknown message encoding %d", head[4])
	}
	return cbor.Unmarshal(body, into)
}
