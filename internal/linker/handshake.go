package linker

import (
	"bytes"
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"

	"github.com/coder/websocket"

	"github.com/cuminstream/cuminstream/pkg/answerer"
)

const (
	// protocolVersion is part of both MACs, so that the handshake fails between
	// incompatible versions.
	protocolVersion = "cuminstream-link-1"
	nonceLength     = 32
)

// hello is the first message of the handshake. The accepting side sends it.
type hello struct {
	Nonce []byte `cbor:"1,keyasint"`
	VM    string `cbor:"2,keyasint"`
}

// proof is the reply of the connecting side. It proves that it knows the key.
type proof struct {
	Nonce []byte   `cbor:"1,keyasint"`
	VM    string   `cbor:"2,keyasint"`
	Kind  linkKind `cbor:"3,keyasint"`
	MAC   []byte   `cbor:"4,keyasint"`
}

// acceptance is the last message. It proves that the accepting side knows the key.
type acceptance struct {
	MAC []byte `cbor:"1,keyasint"`
}

// errKeyNotProved is returned when the other side sent a wrong MAC.
var errKeyNotProved = errors.New("peer did not prove knowledge of the shared key")

// handshakeMAC authenticates one direction of the handshake. The role prevents a
// MAC from being reflected to its sender. Each field is preceded by its length.
func handshakeMAC(key []byte, role string, hello hello, proof proof) []byte {
	mac := hmac.New(sha256.New, key)
	for _, field := range [][]byte{
		[]byte(protocolVersion), []byte(role), hello.Nonce, []byte(hello.VM),
		proof.Nonce, []byte(proof.VM), []byte(proof.Kind),
	} {
		var length [4]byte
		binary.BigEndian.PutUint32(length[:], uint32(len(field)))
		mac.Write(length[:])
		mac.Write(field)
	}
	return mac.Sum(nil)
}

const (
	connectingRole = "connecting"
	acceptingRole  = "accepting"
)

func newNonce() []byte {
	nonce := make([]byte, nonceLength)
	_, _ = rand.Read(nonce) // never fails since Go 1.24
	return nonce
}

// serverHandshake runs the handshake of the accepting side.
func serverHandshake(ctx context.Context, connection *connection, key []byte, vm string) error {
	greeting := hello{Nonce: newNonce(), VM: vm}
	if err := sendHandshake(ctx, connection.socket, greeting); err != nil {
		return err
	}
	var answer proof
	if err := receiveHandshake(ctx, connection.socket, &answer); err != nil {
		return err
	}
	if answer.Kind != controlLink && answer.Kind != requestLink {
		return fmt.Errorf("%w: link kind %q", errProtocol, answer.Kind)
	}
	if len(answer.Nonce) != nonceLength || len(answer.VM) == 0 || len(answer.VM) > maxNameLength {
		return fmt.Errorf("%w: malformed proof", errProtocol)
	}
	if !hmac.Equal(answer.MAC, handshakeMAC(key, connectingRole, greeting, answer)) {
		return errKeyNotProved
	}
	connection.peer, connection.kind = answer.VM, answer.Kind
	return sendHandshake(ctx, connection.socket, acceptance{MAC: handshakeMAC(key, acceptingRole, greeting, answer)})
}

// clientHandshake runs the handshake of the connecting side. It fails if the VM at
// the other end is not the expected one.
func clientHandshake(ctx context.Context, connection *connection, key []byte, vm, expected string, kind linkKind) error {
	var greeting hello
	if err := receiveHandshake(ctx, connection.socket, &greeting); err != nil {
		return err
	}
	if greeting.VM != expected {
		return fmt.Errorf("the address belongs to VM %q instead of %q", greeting.VM, expected)
	}
	if len(greeting.Nonce) != nonceLength {
		return fmt.Errorf("%w: malformed hello", errProtocol)
	}
	answer := proof{Nonce: newNonce(), VM: vm, Kind: kind}
	answer.MAC = handshakeMAC(key, connectingRole, greeting, answer)
	if err := sendHandshake(ctx, connection.socket, answer); err != nil {
		return err
	}
	var accepted acceptance
	if err := receiveHandshake(ctx, connection.socket, &accepted); err != nil {
		if websocket.CloseStatus(err) == websocket.StatusPolicyViolation {
			return answerer.New(answerer.Unauthenticated, "VM %q refused the shared key: %w", expected, err)
		}
		return err
	}
	if !hmac.Equal(accepted.MAC, handshakeMAC(key, acceptingRole, greeting, answer)) {
		return answerer.New(answerer.Unauthenticated, "VM %q: %w", expected, errKeyNotProved)
	}
	connection.peer, connection.kind = expected, kind
	return nil
}

func sendHandshake(ctx context.Context, socket *websocket.Conn, message any) error {
	var buffer bytes.Buffer
	if err := encode(&buffer, message); err != nil {
		return err
	}
	return socket.Write(ctx, websocket.MessageBinary, buffer.Bytes())
}

func receiveHandshake(ctx context.Context, socket *websocket.Conn, message any) error {
	kind, data, err := socket.Read(ctx)
	if err != nil {
		return err
	}
	if kind != websocket.MessageBinary {
		return fmt.Errorf("%w: text message", errProtocol)
	}
	rest, err := decodeFirst(data, message)
	if err == nil && len(rest) > 0 {
		err = fmt.Errorf("%w: %d bytes after the handshake message", errProtocol, len(rest))
	}
	return err
}
