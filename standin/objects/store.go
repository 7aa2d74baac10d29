package objects

import (
	"crypto/md5"
	"encoding/hex"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/sycamorecourse/sycamorecourse/standin/host"
)

// maxBodyBytes is the largest size of an object.
const maxBodyBytes = 16 << 20

// Store is a stand-in object store: an HTTP server and the one thread that serves
// its calls. All fields belong to that thread.
type Store struct {
	*host.Host
	config     Config
	objects    map[string]*object
	callBucket *host.Bucket
}

// New returns an empty store that is not listening yet; see Open.
func New(config Config) *Store {
	h := host.New(host.Config{Name: "objects", Address: config.Address, MaxBodyBytes: maxBodyBytes})
	return &Store{
		Host:       h,
		config:     config.withDefaults(),
		objects:    make(map[string]*object),
		callBucket: host.NewBucket(config.CallsPerSecond, h.Now()),
	}
}

// Open starts to listen. Calls are served once Run is called.
func (s *Store) Open() error { return s.Host.Open(&handler{store: s}) }

func (s *Store) get(c *host.Call, key string) {
	found := s.objects[key]
	if found == nil {
		fail(c, http.StatusNotFound, codeNoKey)
		return
	}
	c.Reply(http.StatusOK, http.Header{
		"Content-Type":  {"application/octet-stream"},
		"Etag":          {found.etag},
		"Last-Modified": {found.modified.UTC().Format(http.TimeFormat)},
	}, found.body)
}

func (s *Store) put(c *host.Call, key string) {
	if !s.checkConditions(c, key) {
		return
	}
	digest := md5.Sum(c.Body)
	next := &object{
		body:     c.Body,
		etag:     `"` + hex.EncodeToString(digest[:]) + `"`,
		modified: time.Now(),
	}
	s.objects[key] = next
	c.Reply(http.StatusOK, http.Header{"Etag": {next.etag}}, nil)
}

// checkConditions reports whether the conditions of a put hold: If-None-Match with
// *, and If-Match with an ETag. If not, it responds with the error.
func (s *Store) checkConditions(c *host.Call, key string) bool {
	current := s.objects[key]
	mustBeAbsent := c.Header.Get("If-None-Match")
	mustMatch := c.Header.Get("If-Match")
	switch {
	case mustBeAbsent != "" && mustBeAbsent != "*":
		fail(c, http.StatusBadRequest, codeInvalid)
	case mustBeAbsent == "*" && current != nil:
		fail(c, http.StatusPreconditionFailed, codePrecondition)
	case mustMatch != "" && current == nil:
		fail(c, http.StatusNotFound, codeNoKey)
	case mustMatch != "" && current.etag != mustMatch:
		fail(c, http.StatusPreconditionFailed, codePrecondition)
	default:
		return true
	}
	return false
}

func (s *Store) remove(c *host.Call, key string) {
	delete(s.objects, key)
	c.Reply(http.StatusNoContent, nil, nil)
}

// list serves a page of the keys with a prefix, in order. The continuation token is
// the last key of the page before.
func (s *Store) list(c *host.Call) {
	limit := s.config.PageKeys
	if n, ok := c.QueryNumber("max-keys"); !ok {
		return
	} else if n > 0 {
		limit = min(limit, int(n))
	}
	prefix, after := c.Query.Get("prefix"), c.Query.Get("continuation-token")
	result := listResult{Name: s.config.Bucket, Prefix: prefix, MaxKeys: limit}
	for _, key := range slices.Sorted(maps.Keys(s.objects)) {
		if !strings.HasPrefix(key, prefix) || key <= after {
			continue
		}
		if len(result.Contents) == limit {
			result.IsTruncated = true
			result.NextContinuationToken = result.Contents[limit-1].Key
			break
		}
		found := s.objects[key]
		result.Contents = append(result.Contents, listEntry{
			Key:          key,
			ETag:         found.etag,
			Size:         len(found.body),
			LastModified: found.modified.UTC(),
		})
	}
	result.KeyCount = len(result.Contents)
	replyXML(c, http.StatusOK, result)
}
