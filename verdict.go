package peridotusher

// Verdict says whether a request may have run at its endpoint.
type Verdict uint8

// The verdicts. The zero value, MayHaveRun, excludes nothing.
const (
	// MayHaveRun means that the request reached an endpoint and its outcome is unknown.
	MayHaveRun Verdict = iota
	// NotRun means that the request certainly did not run.
	NotRun
	// Ran means that the request ran.
	Ran
)

// String returns the verdict as written in headers, error objects and logs.
func (v Verdict) String() string {
	switch v {
	case NotRun:
		return "not-run"
	case Ran:
		return "ran"
	default:
		return "may-have-run"
	}
}

// ParseVerdict reads a verdict written by String. Unknown text is MayHaveRun.
func ParseVerdict(s string) Verdict {
	switch s {
	case "not-run":
		return NotRun
	case "ran":
		return Ran
	default:
		return MayHaveRun
	}
}
