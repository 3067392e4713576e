package mesh

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/cockroachdb/errors"
)

// compressionCache compresses configurations, which may have megabytes of text. It caches the
// latest one, since many routers fetch it at the same time.
type compressionCache struct {
	mu         sync.Mutex
	version    int64
	compressed []byte
}

// compress returns the compressed text of a version of the configuration; nil for an empty
// one.
func (c *compressionCache) compress(version int64, text []byte) ([]byte, error) {
	if len(text) == 0 {
		return nil, nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.compressed != nil && c.version == version {
		return c.compressed, nil
	}
	compressed, err := compress(text)
	if err != nil {
		return nil, err
	}
	c.version, c.compressed = version, compressed
	return compressed, nil
}

func compress(text []byte) ([]byte, error) {
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

// decompress undoes compress. A text larger than maxStateSize is an error.
func decompress(data []byte) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(data))
	text, err := io.ReadAll(io.LimitReader(r, maxStateSize+1))
	if err != nil {
		return nil, errors.Wrap(err, "decompress")
	}
	if len(text) > maxStateSize {
		return nil, errors.Newf("the decompressed data exceeds %d bytes", maxStateSize)
	}
	return text, nil
}
