package mesh

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/cockroachdb/errors"
)

// compress returns a text compressed; nil for an empty one.
func compress(text []byte) ([]byte, error) {
	if len(text) == 0 {
		return nil, nil
	}
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "compress")
	}
	if _, err := w.Write(text); err != nil {
		return nil, errors.Wrap(err, "compress")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "compress")
	}
	return out.Bytes(), nil
}

// decompress undoes compress. A text larger than largestState is an error.
func decompress(packed []byte) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(packed))
	text, err := io.ReadAll(io.LimitReader(r, largestState+1))
	if err != nil {
		return nil, errors.Wrap(err, "decompress")
	}
	if len(text) > largestState {
		return nil, errors.Newf("more than %d bytes", largestState)
	}
	return text, nil
}
