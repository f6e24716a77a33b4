package breaker

import "fmt"

// InvalidLines returns header lines whose name is not a token or whose value has a control
// byte.
func InvalidLines() []string {
	lines := []string{
		"Keep Alive: timeout=5", "Content-Length : 4", "Content-Length  : 4", "Transfer-Encoding : chunked", "Transfer Encoding: chunked",
		"Content-Length\t: 4", ": value", "no field", "Nam\u00e9: value",
	}
	for _, control := range []byte{0, 1, '\t', '\v', '\f', '\r', 0x1b, 0x7f} {
		lines = append(lines, fmt.Sprintf("X%c: value", control), fmt.Sprintf("X%cY: value", control))
		if control != '\t' {
			lines = append(lines, fmt.Sprintf("X: a%cb", control))
		}
	}
	return lines
}

// InvalidFields returns responses with an invalid line in their head, in that of an interim
// response before it, and in their trailer. Apart from that line, they are complete. lines
// is added to the head.
func InvalidFields(lines string) map[string]Response {
	responses := map[string]Response{}
	for _, invalid := range InvalidLines() {
		name := fmt.Sprintf("%q", invalid)
		responses[name] = Response{Text: "HTTP/1.1 200 OK\r\n" + lines + "Content-Length: 2\r\n" + invalid + "\r\n\r\nok"}
		responses[name+", no other length"] = Response{Text: "HTTP/1.1 200 OK\r\n" + lines + invalid + "\r\n\r\n2\r\nok\r\n0\r\n\r\n", Closes: true}
		responses[name+" in an interim response"] = Response{Text: "HTTP/1.1 103 Early Hints\r\n" + invalid + "\r\n\r\nHTTP/1.1 200 OK\r\n" + lines + "Content-Length: 2\r\n\r\nok"}
		responses[name+" in the trailer"] = Response{Text: "HTTP/1.1 200 OK\r\n" + lines + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n" + invalid + "\r\n\r\n"}
	}
	return responses
}
