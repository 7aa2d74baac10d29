// Package bytelimit bounds the bytes that many connections together keep of what their
// peers have sent.
package bytelimit
