package peer

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"strings"
)

// CredentialSource holds a host's credentials. Each is PEM text or the path of a
// PEM file, which is read again at each handshake.
type CredentialSource struct {
	Certificate string
	Key         string
	Authorities string
}

// Load reads the current credentials.
func (s CredentialSource) Load() (*Credentials, error) {
	cert, err1 := readPEM("certificate", s.Certificate)
	key, err2 := readPEM("key", s.Key)
	cas, err3 := readPEM("authorities", s.Authorities)
	if err := errors.Join(err1, err2, err3); err != nil {
		return nil, err
	}
	pair, err := tls.X509KeyPair(cert, key)
	if err != nil {
		return nil, fmt.Errorf("certificate and key: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(cas) {
		return nil, errors.New("authorities: no certificate found")
	}
	return &Credentials{Certificate: pair, Config: &tls.Config{RootCAs: pool}}, nil
}

func readPEM(name, s string) ([]byte, error) {
	if s == "" {
		return nil, fmt.Errorf("%s: missing", name)
	}
	if strings.HasPrefix(s, "-----BEGIN") {
		return []byte(s), nil
	}
	b, err := os.ReadFile(s)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return b, nil
}
