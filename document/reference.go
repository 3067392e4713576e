package document

import (
	"strings"

	"peridotusher.example/peridotusher/ini"
)

// Reference returns a Markdown table of the keys of each section kind.
func Reference() string {
	return strings.Join([]string{
		ini.Reference("policy", allPolicyFields()),
		ini.Reference("class NAME", classFields),
		ini.Reference("organisation NAME", organisationFields),
		ini.Reference("model NAME", modelFields),
		ini.Reference("service NAME", serviceFields),
		ini.Reference("rule NAME", ruleFields),
		ini.Reference("team NAME", teamFields),
	}, "\n")
}
