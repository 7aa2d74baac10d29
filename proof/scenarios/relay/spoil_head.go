package relay

import "bytes"

// spoiltLines are lines after a status line with which no head tells a body beyond doubt,
// or which are no fields.
var spoiltLines = []string{
	"Content-Length: 1",
	"Content-Length:",
	"Content-Length: +1",
	"Content Length: 1",
	"Transfer-Encoding: chunkd",
	"out of memory: 1",
	"Kind: a\x01b",
}

// spoilHead returns the beginning of a response with a line added after its status line.
// Other pieces are returned as they are.
func spoilHead(piece []byte, line int) []byte {
	status, rest, ok := bytes.Cut(piece, []byte("\r\n"))
	if !ok || !bytes.HasPrefix(status, []byte("HTTP/1.")) {
		return piece
	}
	added := "\r\n" + spoiltLines[line%len(spoiltLines)] + "\r\n"
	return bytes.Join([][]byte{status, rest}, []byte(added))
}
