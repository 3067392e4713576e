package replicas

// Page is a part of the list of replicas, or the list as a whole.
type Page struct {
	Entries []Entry
	// Malformed are the keys of entries that name no replica to use.
	Malformed []string
	// Revision is the store's revision when the page was read.
	Revision int64
	// Next says where the next page begins; "" if there is none.
	Next string
}
