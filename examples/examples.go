// Package examples holds sample settings and configuration documents.
//
// # Usage
//
//	doc, problems := document.Parse("kalimera.ini", examples.Kalimera)
package examples

import (
	_ "embed" // the samples are embedded in the binary
	"regexp"
)

// Kalimera is the configuration document of the first sample deployment.
//
//go:embed kalimera.ini
var Kalimera []byte

// Malabar is the configuration document of the second sample deployment.
//
//go:embed malabar.ini
var Malabar []byte

// Router holds the sample settings of one router.
//
//go:embed router.ini
var Router []byte

var replicasLine = regexp.MustCompile(`(?m)^replicas = .*@.*$`)

// WithReplicas returns the document with the service's endpoints replaced.
func WithReplicas(document []byte, replicas string) []byte {
	return replicasLine.ReplaceAll(document, []byte("replicas = "+replicas))
}
