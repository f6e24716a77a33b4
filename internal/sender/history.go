package sender

import "slices"

// History records the connections on which a request was sent. Responses are matched by
// the request's ID, which all attempts share: on the same connection, a late second copy
// of the response to the first attempt would be taken for the response to the next one.
// It is not safe for concurrent use.
type History struct{ connections []*connection }

func (history *History) add(conn *connection) {
	if history != nil {
		history.connections = append(history.connections, conn)
	}
}

func (history *History) contains(conn *connection) bool {
	return history != nil && slices.Contains(history.connections, conn)
}
