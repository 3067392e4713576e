// Package ini reads INI files strictly and reports every problem in them with
// its line.
//
// gopkg.in/ini.v1 parses the values, with interpolation, continuation lines,
// inline comments, quoting and child sections turned off. The library records no
// line numbers, so this package first scans the text for them.
//
// # Usage
//
// Describe the keys of a section kind in a table, then decode:
//
//	fields := []ini.Field[Host]{{
//		Name:    "wait",
//		Default: "2s",
//		Text:    "Time to wait for an answer.",
//		Value:   ini.Of(ini.Duration(0, time.Minute), func(h *Host) *time.Duration { return &h.wait }),
//	}}
//	file, problems := ini.Read("hosts.ini", text)
//	problems = append(problems, file.Decode(map[string]ini.Kind{
//		"host": {Named: true, Decode: func(s *ini.Section) []ini.Problem {
//			return ini.Fill(s, fields, &Host{})
//		}},
//	})...)
package ini
