package breaker

import "fmt"

// InvalidStatuses returns complete responses with an invalid status. lines is added to the head.
func InvalidStatuses(lines string) map[string]Response {
	responses := map[string]Response{}
	for _, status := range []string{"000", "001", "050", "099", "0200", "1000", "-200", "+20", "600", "999", "2 0", "20", ""} {
		responses[fmt.Sprintf("%q", status)] = Response{Text: "HTTP/1.1 " + status + " X\r\n" + lines + "Content-Length: 2\r\n\r\nok"}
		responses[fmt.Sprintf("%q without a body", status)] = Response{Text: "HTTP/1.1 " + status + " X\r\n" + lines + "Content-Length: 0\r\n\r\n"}
	}
	return responses
}
