package crowd_test

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"time"
)

// Frame types and flags of HTTP/2.
const (
	frameData         = 0
	frameHeaders      = 1
	frameSettings     = 4
	frameContinuation = 9
	flagEndHeaders    = 4
	// preface begins a connection of HTTP/2.
	preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
)

// head returns the head of a request without the empty line at its end.
func head(method, path string, n int) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: h.example\r\nRequest-Id: crowd-%d\r\n", method, path, n)
}

// write ignores errors: the host may close the connection, or read no more.
func write(socket net.Conn, text string) bool {
	_, err := socket.Write([]byte(text))
	return err == nil
}

// stopBody sends a body but for its last byte: in one piece, in small pieces or in one-byte chunks.
func stopBody(socket net.Conn, path string, n int) {
	const size, small, chunks = 1 << 20, 1 << 10, 10
	length, part, count := fmt.Sprintf("Content-Length: %d\r\n\r\n", size), strings.Repeat("x", size-1), 1
	switch n % 3 {
	case 1:
		part, count = part[:small], size/small-1
	case 2:
		length, part, count = "Transfer-Encoding: chunked\r\n\r\n", strings.Repeat("1\r\nx\r\n", size/chunks), chunks
	}
	for ok := write(socket, head("POST", path, n)+length); ok && count > 0; count-- {
		ok = write(socket, part)
	}
}

// sendEndless sends a body for as long as the host reads it.
func sendEndless(socket net.Conn, path string, n int) {
	length := "Content-Length: 1099511627776\r\n\r\n"
	part := strings.Repeat("x", 64<<10)
	if n%2 == 0 {
		length, part = "Transfer-Encoding: chunked\r\n\r\n", fmt.Sprintf("%x\r\n%s\r\n", 64<<10, part)
	}
	for ok := write(socket, head("POST", path, n)+length); ok; {
		ok = write(socket, part)
	}
}

// sendShortFields sends fields of 16 KB with very short names, and the beginning of a body.
func sendShortFields(socket net.Conn, path string, n int) {
	const letters = "abcdefghijklmnopqrstuvwxyz"
	var fields strings.Builder
	for i := 0; fields.Len() < 16<<10-256; i++ {
		fmt.Fprintf(&fields, "%c%c:\r\n", letters[i/26%26], letters[i%26])
	}
	write(socket, head("POST", path, n)+fields.String()+"Content-Length: 9\r\n\r\nx")
}

// sendManyFields sends fields of 1 MB with very short names.
func sendManyFields(socket net.Conn, path string, n int) {
	write(socket, head("GET", path, n)+strings.Repeat("a:\r\n", 1<<18))
}

// sendAhead sends requests without reading the responses.
func sendAhead(socket net.Conn, path string, n int) {
	for i := range 20 {
		if !write(socket, strings.Repeat(head("GET", path, n*1000+i)+"\r\n", 50)) {
			return
		}
	}
}

// sendSlowly sends a byte at a time, of the head or of the body.
func sendSlowly(socket net.Conn, path string, n int) {
	text := head("POST", path, n)
	if n%2 == 0 {
		text += "Content-Length: 100000\r\n\r\n"
	}
	for ok := write(socket, text); ok; {
		time.Sleep(sendTime / 10)
		ok = write(socket, "x")
	}
}

// stopHalfWay sends nothing, a part of a head, a part of a body or a whole request.
func stopHalfWay(socket net.Conn, path string, n int) {
	write(socket, []string{"", "GET ", head("GET", path, n), head("POST", path, n) + "Content-Length: 9\r\n\r\nx", head("GET", path, n) + "\r\n"}[n%5])
}

// readSlowly requests a response and reads it a few bytes at a time.
func readSlowly(socket net.Conn, path string, n int) {
	if tcp, ok := socket.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(4 << 10) // it only makes the crowd slower
	}
	write(socket, head("GET", path, n)+"\r\n")
	for part := make([]byte, 16); ; time.Sleep(sendTime / 20) {
		if _, err := socket.Read(part); err != nil {
			return
		}
	}
}

func sendGarbage(socket net.Conn, _ string, n int) {
	random := rand.New(rand.NewPCG(uint64(n), 1))
	part := make([]byte, 4<<10)
	for i := range part {
		part[i] = byte(random.Uint32())
	}
	text := string(part)
	if n%2 == 0 {
		text = preface + frame(frameSettings, 0, 0, nil) + text
	}
	for ok := write(socket, text); ok; {
		ok = write(socket, string(part))
	}
}

// frame returns a frame of HTTP/2.
func frame(kind, flags byte, stream uint32, payload []byte) string {
	header := append(binary.BigEndian.AppendUint32(nil, uint32(len(payload)))[1:], kind, flags)
	return string(binary.BigEndian.AppendUint32(header, stream)) + string(payload)
}

// field returns a header field of HTTP/2 with a short name and value.
func field(name, value string) []byte {
	return fmt.Appendf(nil, "\x00%c%s%c%s", len(name), name, len(value), value)
}

// sendEndlessHeaders sends header fields that never end.
func sendEndlessHeaders(socket net.Conn, _ string, _ int) {
	fields := bytes.Repeat(field("a", "b"), 3000)
	ok := write(socket, preface+frame(frameSettings, 0, 0, nil)+frame(frameHeaders, 0, 1, fields))
	for range 100 {
		if ok = ok && write(socket, frame(frameContinuation, 0, 1, fields)); !ok {
			return
		}
	}
}

// sendUnfinishedMessages begins many calls whose first message never ends.
func sendUnfinishedMessages(socket net.Conn, _ string, _ int) {
	call := bytes.Join([][]byte{
		field(":method", "POST"), field(":scheme", "http"), field(":path", "/hickoryfront.peer.v1.Edge/Relay"), field(":authority", "a"),
		field("content-type", "application/grpc"), field("te", "trailers"),
	}, nil)
	ok := write(socket, preface+frame(frameSettings, 0, 0, nil))
	message := append([]byte{0, 0, 0x3f, 0xff, 0xff}, make([]byte, 16<<10-5)...)
	for stream := uint32(1); stream < 1000; stream += 2 {
		ok = ok && write(socket, frame(frameHeaders, flagEndHeaders, stream, call)+frame(frameData, 0, stream, message)+
			strings.Repeat(frame(frameData, 0, stream, make([]byte, 15<<10)), 3))
	}
}
