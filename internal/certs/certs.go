// Package certs issues short-lived certificates for tests and for the sample
// fleet of `figmast try`.
package certs

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"time"
)

// defaultLifetime is the lifetime of the authority's certificate, and of the
// certificates that IssueHost issues.
const defaultLifetime = time.Hour

// Authority is a certificate authority that signs the certificates of one fleet.
type Authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	// PEM is the authority's own certificate.
	PEM string
}

// Pair is a host's certificate and private key, PEM encoded.
type Pair struct {
	CertPEM string
	KeyPEM  string
}

// NewAuthority returns an authority with a new key and a self-signed
// certificate.
func NewAuthority() (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	t := newTemplate("figmast test authority", defaultLifetime)
	t.IsCA = true
	t.BasicConstraintsValid = true
	t.KeyUsage |= x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, t, t, &key.PublicKey, key)
	if err != nil {
		return nil, err
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, err
	}
	return &Authority{cert: cert, key: key, PEM: encodePEM("CERTIFICATE", der)}, nil
}

// IssueHost returns a certificate for a host with this IP address.
func (a *Authority) IssueHost(name, ip string) (Pair, error) {
	return a.IssueHostWithLifetime(name, ip, defaultLifetime)
}

// IssueHostWithLifetime is IssueHost with a lifetime that starts now.
func (a *Authority) IssueHostWithLifetime(name, ip string, lifetime time.Duration) (Pair, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Pair{}, err
	}
	t := newTemplate(name, lifetime)
	t.IPAddresses = []net.IP{net.ParseIP(ip)}
	t.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	der, err := x509.CreateCertificate(rand.Reader, t, a.cert, &key.PublicKey, a.key)
	if err != nil {
		return Pair{}, err
	}
	private, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return Pair{}, err
	}
	return Pair{CertPEM: encodePEM("CERTIFICATE", der), KeyPEM: encodePEM("PRIVATE KEY", private)}, nil
}

func newTemplate(name string, lifetime time.Duration) *x509.Certificate {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 120))
	if err != nil {
		panic(err) // the random source of the system does not fail
	}
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-time.Minute),
		NotAfter:     now.Add(lifetime),
		KeyUsage:     x509.KeyUsageDigitalSignature,
	}
}

func encodePEM(kind string, der []byte) string {
	return string(pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}))
}
