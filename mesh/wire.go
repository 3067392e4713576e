package mesh

import "google.golang.org/protobuf/encoding/protowire"

// Messages between routers are in the protobuf wire format, encoded and decoded field by
// field without generated code.

func appendBytes(out []byte, n protowire.Number, v []byte) []byte {
	if len(v) == 0 {
		return out
	}
	out = protowire.AppendTag(out, n, protowire.BytesType)
	return protowire.AppendBytes(out, v)
}

func appendNumber(out []byte, n protowire.Number, v uint64) []byte {
	if v == 0 {
		return out
	}
	out = protowire.AppendTag(out, n, protowire.VarintType)
	return protowire.AppendVarint(out, v)
}

func appendFlag(out []byte, n protowire.Number, v bool) []byte {
	if !v {
		return out
	}
	return appendNumber(out, n, 1)
}

// eachField calls f for each field of a message: with v for an integer, with raw
// for bytes. Fields of other types are skipped.
func eachField(data []byte, f func(n protowire.Number, v uint64, raw []byte) error) error {
	for len(data) > 0 {
		n, kind, size := protowire.ConsumeTag(data)
		if size < 0 {
			return protowire.ParseError(size)
		}
		data = data[size:]
		var v uint64
		var raw []byte
		switch kind {
		case protowire.VarintType:
			v, size = protowire.ConsumeVarint(data)
		case protowire.BytesType:
			raw, size = protowire.ConsumeBytes(data)
		default:
			size = protowire.ConsumeFieldValue(n, kind, data)
		}
		if size < 0 {
			return protowire.ParseError(size)
		}
		data = data[size:]
		if err := f(n, v, raw); err != nil {
			return err
		}
	}
	return nil
}
