package verifier

import (
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
)

// Transport is an http.RoundTripper that fails on responses with an invalid status, or an
// invalid field name in their header, their trailer or an interim response before them, and
// closes their connections. It is safe for concurrent use.
type Transport struct {
	// Base sends the requests.
	Base http.RoundTripper
	// OneServer means that Base connects to one server only. After an invalid response, all
	// its idle connections are closed: net/http may have put that of the response into its
	// pool, and would take it out only some time after it was closed.
	OneServer bool
}

// RoundTrip implements http.RoundTripper.
func (transport *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	var conn net.Conn
	interim := &interimChecker{}
	ctx := httptrace.WithClientTrace(request.Context(), &httptrace.ClientTrace{
		GotConn:        func(info httptrace.GotConnInfo) { conn = info.Conn },
		Got1xxResponse: interim.check,
	})
	response, err := transport.Base.RoundTrip(request.WithContext(ctx))
	if err != nil {
		return nil, err
	}
	if err := Response(response); err != nil {
		transport.reject(conn)
		_ = response.Body.Close()
		return nil, err
	}
	response.Body = &closingBody{ReadCloser: response.Body, reject: func() { transport.reject(conn) }}
	return response, nil
}

// CloseIdleConnections closes the idle connections of Base.
func (transport *Transport) CloseIdleConnections() {
	if closer, ok := transport.Base.(interface{ CloseIdleConnections() }); ok {
		closer.CloseIdleConnections()
	}
}

// reject closes the connection of an invalid response. It is nil if Base is no *http.Transport.
func (transport *Transport) reject(conn net.Conn) {
	if conn != nil {
		_ = conn.Close()
	}
	if transport.OneServer {
		transport.CloseIdleConnections()
	}
}

// closingBody rejects the connection of a response with an invalid trailer.
type closingBody struct {
	io.ReadCloser
	reject func()
}

func (body *closingBody) Read(buffer []byte) (int, error) {
	count, err := body.ReadCloser.Read(buffer)
	if errors.Is(err, ErrFieldName) {
		body.reject()
	}
	return count, err
}
