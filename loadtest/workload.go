package loadtest

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

// The classes of the sample configuration.
const (
	classChat   = "chat"
	classLabel  = "label"
	classReport = "report"
)

// The parameters of the traffic. longPause stands for a pause of an hour.
const (
	model         = "stylist"
	shortPause    = 2 * time.Second
	longPause     = 10 * time.Second
	longShare     = 0.2
	turnsPerChat  = 12
	openingTokens = 600
	turnTokens    = 60
	bytesPerToken = 4
	minChatTokens = 40
	maxChatTokens = 100
	labelTokens   = 8
	reportTokens  = 300
	labelShare    = 0.15
	reportShare   = 0.03
	surgeFactor   = 10
)

// organisations lists the organisations of the sample configuration, largest first.
var organisations = []string{
	"shop-athina", "shop-pireas", "shop-elefsina", "shop-marousi", "shop-glyfada",
	"shop-kifisia", "shop-lavrio", "shop-megara", "shop-rafina", "shop-nea-makri",
}

// reportOrganisations is the number of organisations, from the first, that may send reports.
const reportOrganisations = 7

// surgingOrganisation is the index of the organisation whose traffic grows in the surge.
const surgingOrganisation = 4

// zipf draws one of the first n organisations with a Zipf distribution: the one of rank k
// has weight 1/k.
func zipf(r *rand.Rand, n int) int {
	sum := 0.0
	for k := range n {
		sum += 1 / float64(k+1)
	}
	point := r.Float64() * sum
	for k := range n {
		point -= 1 / float64(k+1)
		if point <= 0 {
			return k
		}
	}
	return n - 1
}

// zipfShare returns the organisation's share of the requests.
func zipfShare(k int) float64 {
	sum := 0.0
	for i := range organisations {
		sum += 1 / float64(i+1)
	}
	return 1 / float64(k+1) / sum
}

// message is one message of a chat. Its fields are in alphabetical order.
type message struct {
	Content string `json:"content"`
	Role    string `json:"role"`
}

// query is one request to a model.
type query struct {
	Class        string    `json:"-"`
	Organisation int       `json:"-"`
	Surge        bool      `json:"-"`
	Model        string    `json:"model"`
	Chat         string    `json:"prompt_cache_key,omitempty"`
	Messages     []message `json:"messages"`
	Tokens       int       `json:"max_tokens"`
	Stream       bool      `json:"stream"`
}

// promptText returns a label followed by filler text of about the number of tokens.
func promptText(label string, tokens int) string {
	const word = "hem "
	return label + " " + strings.Repeat(word, tokens*bytesPerToken/len(word))
}

// turnPause draws the time until a chat's next turn.
func turnPause(r *rand.Rand) time.Duration {
	mean := shortPause
	if r.Float64() < longShare {
		mean = longPause
	}
	return mean/2 + time.Duration(r.Int64N(int64(mean)))
}

// openingMessages returns the system message of a chat.
func openingMessages(name string) []message {
	return []message{{Role: "system", Content: promptText("You advise on sizes for "+name, openingTokens)}}
}

// answerTokens draws the length of a chat's answer in tokens.
func answerTokens(r *rand.Rand) int {
	return minChatTokens + r.IntN(maxChatTokens-minChatTokens)
}

func turnMessage(name string, turn int) message {
	return message{Role: "user", Content: promptText(fmt.Sprintf("%s turn %d: does it fit?", name, turn), turnTokens)}
}
