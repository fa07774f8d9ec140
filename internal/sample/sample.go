// Package sample generates documents for sample services of two organisations,
// Pine Hollow and Strapwell, at the sizes of their current services. docs/samples
// holds the generated documents.
package sample

import (
	"fmt"
	"strings"
)

// Operation is one operation of a sample service.
type Operation struct {
	Name string
	// Kind is "query" or "command".
	Kind     string
	Urgency  string
	Worth    float64
	Deadline string
}

// Shape describes a sample service: its operations, size and placement.
type Shape struct {
	Service    string
	Operations []Operation
	Leaves     int
	// Slots is the number of backend servers of each leaf.
	Slots int
	// Connections is the number of connections that all servers of a leaf
	// accept together.
	Connections int
	DataCentres []string
	// Network is the first two octets of the servers' IP addresses.
	Network string
	// Note is the comment at the top of the document.
	Note string
}

var (
	pineHollow = []string{"ph-atlanta", "ph-mobile", "ph-baton-rouge"}
	strapwell  = []string{"sw-port", "sw-hill", "sw-market", "sw-harbour"}
)

// Shapes returns the eight sample services.
func Shapes() []Shape {
	return append(pineHollowShapes(), strapwellShapes()...)
}

func pineHollowShapes() []Shape {
	return []Shape{
		{
			Service: "route-app-1", Leaves: 3, Slots: 6, Connections: 50, DataCentres: pineHollow, Network: "10.1",
			Note: "Pine Hollow's route app: one of 10 services of this shape. A new connection costs about 6 ms.",
			Operations: []Operation{
				{"gate-note", "query", "urgent", 5, "250ms"},
				{"route-sheet", "query", "bulk", 1, "2s"},
				{"book-visit", "command", "normal", 3, "1s"},
			},
		},
		{
			Service: "member-portal-1", Leaves: 3, Slots: 6, Connections: 50, DataCentres: pineHollow, Network: "10.2",
			Note: "Pine Hollow's member portal: one of 15 services of this shape. A new connection costs about 6 ms.",
			Operations: []Operation{
				{"yard-status", "query", "normal", 1, "500ms"},
				{"request-visit", "command", "normal", 2, "1s"},
			},
		},
		{
			Service: "billing", Leaves: 35, Slots: 3, Connections: 110, DataCentres: pineHollow, Network: "10.3",
			Note: "Pine Hollow's billing. A new connection costs about 1 ms.",
			Operations: []Operation{
				{"look-up", "query", "normal", 2, "400ms"},
				{"bill", "command", "normal", 5, "2s"},
			},
		},
		{
			Service: "scheduling", Leaves: 20, Slots: 3, Connections: 110, DataCentres: pineHollow, Network: "10.4",
			Note: "Pine Hollow's scheduling. A new connection costs about 1 ms.",
			Operations: []Operation{
				{"day-plan", "query", "normal", 1, "500ms"},
				{"move-visit", "command", "normal", 2, "1s"},
			},
		},
	}
}

func strapwellShapes() []Shape {
	return []Shape{
		{
			Service: "counter-desk-1", Leaves: 3, Slots: 3, Connections: 30, DataCentres: strapwell, Network: "10.5",
			Note: "Strapwell's counter desk: one of 10 services of this shape. A new connection costs about 6 ms.",
			Operations: []Operation{
				{"repair-status", "query", "urgent", 2, "400ms"},
				{"log-strap", "command", "urgent", 5, "1s"},
			},
		},
		{
			Service: "bench-board-1", Leaves: 3, Slots: 3, Connections: 30, DataCentres: strapwell, Network: "10.6",
			Note: "Strapwell's bench board: one of 15 services of this shape. A new connection costs about 6 ms.",
			Operations: []Operation{
				{"bench-list", "query", "normal", 1, "500ms"},
				{"assign-bench", "command", "normal", 3, "1s"},
			},
		},
		{
			Service: "courier", Leaves: 20, Slots: 3, Connections: 40, DataCentres: strapwell, Network: "10.7",
			Note: "Strapwell's courier service. A new connection costs about 1 ms.",
			Operations: []Operation{
				{"parcel", "query", "urgent", 2, "400ms"},
				{"hand-over", "command", "urgent", 4, "1s"},
			},
		},
		{
			Service: "invoicing", Leaves: 10, Slots: 3, Connections: 40, DataCentres: strapwell, Network: "10.8",
			Note: "Strapwell's invoicing. A new connection costs about 1 ms.",
			Operations: []Operation{
				{"invoice-list", "query", "normal", 1, "500ms"},
				{"issue-invoice", "command", "normal", 5, "2s"},
			},
		},
	}
}

// backendPort is the port of every sample backend server.
const backendPort = 9000

// Address returns the address of a server in the documents of docs/samples.
func (s Shape) Address(leaf, slot int) string {
	return fmt.Sprintf("%s.%d.%d:%d", s.Network, leaf+1, slot+1, backendPort)
}

// ServerID returns the id of the backend server in a slot of a leaf.
func (s Shape) ServerID(leaf, slot int) string {
	return fmt.Sprintf("%s-l%d-s%d", s.Service, leaf+1, slot+1)
}

// DataCentre returns the data centre of a server. The servers of a leaf are
// spread over the data centres round robin, and consecutive leaves start at
// different data centres.
func (s Shape) DataCentre(leaf, slot int) string {
	return s.DataCentres[(leaf+slot)%len(s.DataCentres)]
}

// DocumentParams holds the parts of a document that operators change while a
// service runs.
type DocumentParams struct {
	Version        int
	Snapshot       string
	DataCentresOut []string
}

// Document returns the service's document in YAML; address returns the address
// of each server.
func (s Shape) Document(p DocumentParams, address func(leaf, slot int) string) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "# %s\nservice: %s\nversion: %d\n", s.Note, s.Service, p.Version)
	s.writeOperations(&b)
	if len(p.DataCentresOut) > 0 {
		fmt.Fprintf(&b, "data_centres_out: [%s]\n", strings.Join(p.DataCentresOut, ", "))
	}
	s.writeLeaves(&b, address)
	s.writeSnapshot(&b, p.Snapshot)
	return []byte(b.String())
}

func (s Shape) writeOperations(b *strings.Builder) {
	b.WriteString("operations:\n")
	for _, op := range s.Operations {
		fmt.Fprintf(b, "- name: %s\n  kind: %s\n  urgency: %s\n  worth: %g\n  deadline: %s\n", op.Name, op.Kind, op.Urgency, op.Worth, op.Deadline)
	}
}

func (s Shape) writeLeaves(b *strings.Builder, address func(leaf, slot int) string) {
	b.WriteString("leaves:\n")
	for leaf := range s.Leaves {
		fmt.Fprintf(b, "- name: leaf-%d\n  slots: %d\n  connections: %d\n  servers:\n", leaf+1, s.Slots, s.Connections)
		for slot := range s.Slots {
			fmt.Fprintf(b, "  - {id: %s, address: \"%s\", data_centre: %s}\n", s.ServerID(leaf, slot), address(leaf, slot), s.DataCentre(leaf, slot))
		}
	}
}

// leafWeight is the weight of each sample leaf, which is the number of indexed
// documents that it holds.
const leafWeight = 100_000

func (s Shape) writeSnapshot(b *strings.Builder, id string) {
	fmt.Fprintf(b, "snapshots:\n- id: %s\n  partition_map: map-1\n  weights:\n", id)
	for leaf := range s.Leaves {
		fmt.Fprintf(b, "  - {leaf: leaf-%d, weight: %d}\n", leaf+1, leafWeight)
	}
}
