package standin

import "sync"

// serviceDocuments holds the documents of one or more replicas of a Service.
type serviceDocuments struct {
	mu     sync.Mutex
	byPath map[string][]byte
}

// save writes the document of a path.
func (d *serviceDocuments) save(path string, document []byte) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.byPath == nil {
		d.byPath = make(map[string][]byte)
	}
	d.byPath[path] = document
}

// fetch returns the document of a path and whether there is one.
func (d *serviceDocuments) fetch(path string) ([]byte, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	document, ok := d.byPath[path]
	return document, ok
}
