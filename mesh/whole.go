package mesh

import (
	"google.golang.org/protobuf/encoding/protowire"

	"peridotusher.example/peridotusher/placing"
	"peridotusher.example/peridotusher/replicas"
)

// Want is what a router asks another one for.
type Want struct {
	// Revision is that of the configuration which the asker has; a newer one is
	// wanted.
	Revision int64
	// Replicas are the digests of the asker's parts of the table of replicas;
	// entries of parts that differ are wanted, none if it is empty.
	Replicas []uint64
	// Inventory asks for what is known of the parts of prompts.
	Inventory bool
}

// The field numbers of a want.
const (
	wantRevision protowire.Number = iota + 1
	wantReplicas
	wantInventory
)

func (w *Want) marshal() []byte {
	out := appendNumber(nil, wantRevision, uint64(w.Revision))
	var packed []byte
	for _, d := range w.Replicas {
		packed = protowire.AppendFixed64(packed, d)
	}
	out = appendBytes(out, wantReplicas, packed)
	return appendFlag(out, wantInventory, w.Inventory)
}

func (w *Want) unmarshal(data []byte) error {
	return eachField(data, func(n protowire.Number, v uint64, raw []byte) error {
		switch n {
		case wantRevision:
			w.Revision = int64(v)
		case wantReplicas:
			for len(raw) > 0 {
				d, size := protowire.ConsumeFixed64(raw)
				if size < 0 {
					return protowire.ParseError(size)
				}
				w.Replicas = append(w.Replicas, d)
				raw = raw[size:]
			}
		case wantInventory:
			w.Inventory = v != 0
		}
		return nil
	})
}

// Whole is the state of a router that another one wants.
type Whole struct {
	// Configuration is the source of the configuration in force, nil if none.
	Configuration []byte
	// Revision is the revision of that configuration.
	Revision int64
	Entries  []replicas.Entry
	// Inventory is what the router knows of the parts that replicas hold.
	Inventory placing.Inventory
	// Settled is whether that includes what they held before all routers started.
	Settled bool
}

// The field numbers of a whole state.
const (
	wholeConfiguration protowire.Number = iota + 1
	wholeRevision
	wholeEntry
	wholePlacements
	wholeHeard
	wholeSettled
)

// The field numbers of how far a router was heard.
const (
	heardName protowire.Number = iota + 1
	heardIncarnation
	heardTold
)

// marshal encodes the state with the configuration as p packs it.
func (w *Whole) marshal(p *packer) ([]byte, error) {
	packed, err := p.pack(w.Revision, w.Configuration)
	if err != nil {
		return nil, err
	}
	out := appendBytes(nil, wholeConfiguration, packed)
	out = appendNumber(out, wholeRevision, uint64(w.Revision))
	for _, e := range w.Entries {
		out = appendBytes(out, wholeEntry, marshalEntry(e))
	}
	out = appendBytes(out, wholePlacements, packPlacements(w.Inventory.Placements))
	for _, h := range w.Inventory.Heard {
		out = appendBytes(out, wholeHeard, marshalHeard(h))
	}
	return appendFlag(out, wholeSettled, w.Settled), nil
}

func (w *Whole) unmarshal(data []byte) error {
	return eachField(data, func(n protowire.Number, v uint64, raw []byte) error {
		switch n {
		case wholeConfiguration:
			text, err := decompress(raw)
			w.Configuration = text
			return err
		case wholeRevision:
			w.Revision = int64(v)
		case wholeEntry:
			e, err := unmarshalEntry(raw)
			w.Entries = append(w.Entries, e)
			return err
		case wholePlacements:
			placements, err := unpackPlacements(raw)
			w.Inventory.Placements = placements
			return err
		case wholeHeard:
			h, err := unmarshalHeard(raw)
			w.Inventory.Heard = append(w.Inventory.Heard, h)
			return err
		case wholeSettled:
			w.Settled = v != 0
		}
		return nil
	})
}

func marshalHeard(h placing.Heard) []byte {
	out := appendBytes(nil, heardName, []byte(h.Name))
	out = appendNumber(out, heardIncarnation, uint64(h.Incarnation))
	return appendNumber(out, heardTold, h.Told)
}

func unmarshalHeard(data []byte) (placing.Heard, error) {
	var h placing.Heard
	err := eachField(data, func(n protowire.Number, v uint64, raw []byte) error {
		switch n {
		case heardName:
			h.Name = string(raw)
		case heardIncarnation:
			h.Incarnation = int64(v)
		case heardTold:
			h.Told = v
		}
		return nil
	})
	return h, err
}
