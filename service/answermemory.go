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

	mu sync.Mutex
	// used is the memory of all answers in bytes. One that is given up does not count any more,
	// since it is about to return its memory.
	used      int64
	endpoints map[string]*endpointAnswers
}

// endpointAnswers are the answers of one endpoint that are being read.
type endpointAnswers struct {
	used    int64 // in bytes
	answers map[*answerReader]bool
}

func newAnswerMemory(limit int64) *answerMemory {
	return &answerMemory{limit: limit, endpoints: make(map[string]*endpointAnswers)}
}

// add registers an answer, and returns a function that returns its memory.
func (m *answerMemory) add(a *answerReader) (release func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	e := m.endpoints[a.address]
	if e == nil {
		e = &endpointAnswers{answers: make(map[*answerReader]bool)}
		m.endpoints[a.address] = e
	}
	e.answers[a] = true
	return func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.remove(a)
	}
}

// grow adds n bytes to an answer. It returns the answer's size and whether the answer is given up.
func (m *answerMemory) grow(a *answerReader, n int64) (size int64, givenUp bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if a.givenUp {
		return a.size, true
	}
	a.size += n
	m.used += n
	m.endpoints[a.address].used += n
	for m.used > m.limit {
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
		if largest == nil || a.size > largest.size {
			largest = a
		}
	}
	m.remove(largest)
	largest.givenUp = true
	largest.cancel(errOutOfMemory)
}

// remove removes an answer, unless it is given up.
func (m *answerMemory) remove(a *answerReader) {
	if a.givenUp {
		return
	}
	e := m.endpoints[a.address]
	e.used -= a.size
	m.used -= a.size
	delete(e.answers, a)
	if len(e.answers) == 0 {
		delete(m.endpoints, a.address)
	}
}
