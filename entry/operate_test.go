package entry

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"peridotusher.example/peridotusher"
	"peridotusher.example/peridotusher/caller"
	"peridotusher.example/peridotusher/document"
	"peridotusher.example/peridotusher/examples"
)

// TestServiceLevel checks how requests count towards the error budget: late and
// refused requests are bad, and client errors do not count.
func TestServiceLevel(t *testing.T) {
	doc, problems := document.Parse("malabar.ini", examples.Malabar)
	if len(problems) > 0 {
		t.Fatal(problems)
	}
	complete := caller.Outcome{Organisation: "kochi-members", Class: "chat", Verdict: peridotusher.Ran, Complete: true, InTime: true}
	late, refused, badRequest, serviceCall := complete, complete, complete, complete
	late.InTime = false
	refused.Complete, refused.InTime, refused.Cause = false, false, peridotusher.CauseOverloaded
	badRequest.Complete, badRequest.InTime, badRequest.Cause = false, false, peridotusher.CauseBadRequest
	serviceCall.Class, serviceCall.Service = "", "ledger"
	tests := []struct {
		name string
		out  caller.Outcome
		want peridotusher.Outcome
	}{
		{"complete and in time", complete, peridotusher.Outcome{Organisation: "kochi-members", Class: "chat", Value: 5, Objective: 0.99, Good: true}},
		{"late", late, peridotusher.Outcome{Organisation: "kochi-members", Class: "chat", Value: 5, Objective: 0.99}},
		{"refused", refused, peridotusher.Outcome{Organisation: "kochi-members", Class: "chat", Value: 5, Objective: 0.99}},
		{"client error", badRequest, peridotusher.Outcome{}},
		{"service call", serviceCall, peridotusher.Outcome{Organisation: "kochi-members", Class: "service ledger", Value: 5, Objective: 0.999, Good: true}},
	}
	for _, tt := range tests {
		got, _, _ := serviceLevel(doc, tt.out)
		if diff := cmp.Diff(tt.want, got); diff != "" {
			t.Errorf("%s: outcome (-want +got):\n%s", tt.name, diff)
		}
	}
}
