package document

import "strings"

// Text returns the complete text of the document.
func (d *Document) Text() string {
	var b strings.Builder
	for _, s := range d.order {
		b.WriteString(s.Text())
	}
	return b.String()
}

// Sections returns the headers of all sections in document order, without their brackets.
func (d *Document) Sections() []string {
	headers := make([]string, 0, len(d.order))
	for _, s := range d.order {
		headers = append(headers, s.Header())
	}
	return headers
}

// Section returns the raw text of the section with the given header, such as
// "class chat". The comment lines directly above the header belong to it. The
// texts of all sections, joined in order, are the document's text.
func (d *Document) Section(header string) (string, bool) {
	s, ok := d.sections[header]
	if !ok {
		return "", false
	}
	return s.Text(), true
}

// OwnerOf returns the name of the team that owns the section with the given
// header. The section need not exist yet.
func (d *Document) OwnerOf(header string) (string, bool) {
	teams := d.owners.teamsOf(header)
	if len(teams) == 0 {
		return "", false
	}
	return teams[0], true
}
