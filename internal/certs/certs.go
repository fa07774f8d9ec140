// Package certs makes short-lived certificates for tests and for the sample
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

// lifetime of a certificate.
const lifetime = time.Hour

// Authority signs certificates of one fleet.
type Authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	// PEM is the authority's certificate.
	PEM string
}

// Pair is a host's certificate and key.
type Pair struct {
	CertPEM string
	KeyPEM  string
}

// NewAuthority returns a fresh authority.
func NewAuthority() (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	t := template("figmast test authority", lifetime)
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
	return &Authority{cert: cert, key: key, PEM: encode("CERTIFICATE", der)}, nil
}

// IssueHost returns a certificate for a host at that IP number.
func (a *Authority) IssueHost(name, ip string) (Pair, error) {
	return a.IssueHostWithLifetime(name, ip, lifetime)
}

// IssueHostWithLifetime returns a certificate for a host at that IP number, with a lifetime
// from now on.
func (a *Authority) IssueHostWithLifetime(name, ip string, lifetime time.Duration) (Pair, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Pair{}, err
	}
	t := template(name, lifetime)
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
	return Pair{CertPEM: encode("CERTIFICATE", der), KeyPEM: encode("PRIVATE KEY", private)}, nil
}

func template(name string, lifetime time.Duration) *x509.Certificate {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 120))
	if err != nil {
		panic(err) // the system's random source never fails
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

func encode(kind string, der []byte) string {
	return string(pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}))
}
