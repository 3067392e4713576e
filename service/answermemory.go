package service

import (
	"sync"

	"github.com/cockroachdb/errors"
)

// errOutOfMemory ends the reading of an answer of the endpoint whose answers use most of the memory.
var errOutOfMemory = errors.New("the endpoint's answers take most of the memory for answers")

// answerMemory limits the memory of the answers that are being read by all calls together. If they
// exceed it, the largest answer of the endpoint that uses most is given up, so that an endpoint that
// sends without end leaves room for the answers of others.
type answerMemory struct {
	limit int64 // in bytes

	mu        sync.Mutex
	used      int64
	givenUp   int64 // part of used that answers which were given up have yet to return
	endpoints map[string]*endpointAnswers
}

// endpointAnswers are the answers of one endpoint that are being read.
type endpointAnswers struct {
	used    int64 // in bytes, without answers that were given up
	answers map[*answerReader]bool
}

func newAnswerMemory(limit int64) *answerMemory {
	return &answerMemory{limit: limit, endpoints: make(map[string]*endpointAnswers)}
}

// add registers an answer, and returns a function that returns its memory.
func (m *answerMemory) add(a *answerReader) func() {
	m.mu.Lock()
	defer m.mu.Unlock()
	e := m.endpoints[a.address]
	if e == nil {
		e = &endpointAnswers{answers: make(map[*answerReader]bool)}
		m.endpoints[a.address] = e
	}
	e.answers[a] = true
	return func() { m.release(a) }
}

// grow adds n bytes to an answer. It returns the answer's size and whether the answer is given up.
func (m *answerMemory) grow(a *answerReader, n int64) (size int64, givenUp bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	a.size += n
	m.used += n
	if a.givenUp {
		m.givenUp += n
	} else {
		m.endpoints[a.address].used += n
	}
	for m.used-m.givenUp > m.limit {
		m.giveUpLargest()
	}
	return a.size, a.givenUp
}

// giveUpLargest gives up the largest answer of the endpoint that uses most memory.
func (m *answerMemory) giveUpLargest() {
	var most *endpointAnswers
	for _, e := range m.endpoints {
		if most == nil || e.used > most.used {
			most = e
		}
	}
	var largest *answerReader
	for a := range most.answers {
		if !a.givenUp && (largest == nil || a.size > largest.size) {
			largest = a
		}
	}
	most.used -= largest.size
	m.givenUp += largest.size
	largest.givenUp = true
	largest.cancel(errOutOfMemory)
}

func (m *answerMemory) release(a *answerReader) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.used -= a.size
	e := m.endpoints[a.address]
	if a.givenUp {
		m.givenUp -= a.size
	} else {
		e.used -= a.size
	}
	delete(e.answers, a)
	if len(e.answers) == 0 {
		delete(m.endpoints, a.address)
	}
}
