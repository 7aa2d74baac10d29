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

// maxBodyBytes bounds an object.
const maxBodyBytes = 16 << 20

// Objects is an object store.
type Objects struct {
	*host.Host
	config Config
	byKey  map[string]*object
	calls  *host.Bucket
}

// New makes an object store; Open starts it.
func New(config Config) *Objects {
	h := host.New(host.Config{Name: "objects", Address: config.Address, MaxBodyBytes: maxBodyBytes})
	return &Objects{
		Host:   h,
		config: config.withDefaults(),
		byKey:  make(map[string]*object),
		calls:  host.NewBucket(config.CallsPerSecond, h.Now()),
	}
}

// Open listens. Run is the duty.
func (o *Objects) Open() error { return o.Host.Open(&behavior{objects: o}) }

func (o *Objects) get(c *host.Call, key string) {
	found := o.byKey[key]
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

func (o *Objects) put(c *host.Call, key string) {
	if !o.checkConditions(c, key) {
		return
	}
	digest := md5.Sum(c.Body)
	next := &object{
		body:     c.Body,
		etag:     `"` + hex.EncodeToString(digest[:]) + `"`,
		modified: time.Now(),
	}
	o.byKey[key] = next
	c.Reply(http.StatusOK, http.Header{"Etag": {next.etag}}, nil)
}

// checkConditions reports whether a write may go on, and answers it when not.
func (o *Objects) checkConditions(c *host.Call, key string) bool {
	present := o.byKey[key]
	mustBeAbsent := c.Header.Get("If-None-Match")
	mustMatch := c.Header.Get("If-Match")
	switch {
	case mustBeAbsent != "" && mustBeAbsent != "*":
		fail(c, http.StatusBadRequest, codeInvalid)
	case mustBeAbsent == "*" && present != nil:
		fail(c, http.StatusPreconditionFailed, codePrecondition)
	case mustMatch != "" && present == nil:
		fail(c, http.StatusNotFound, codeNoKey)
	case mustMatch != "" && present.etag != mustMatch:
		fail(c, http.StatusPreconditionFailed, codePrecondition)
	default:
		return true
	}
	return false
}

func (o *Objects) remove(c *host.Call, key string) {
	delete(o.byKey, key)
	c.Reply(http.StatusNoContent, nil, nil)
}

func (o *Objects) list(c *host.Call) {
	limit := o.config.PageKeys
	if n, ok := c.QueryNumber("max-keys"); !ok {
		return
	} else if n > 0 {
		limit = min(limit, int(n))
	}
	prefix, after := c.Query.Get("prefix"), c.Query.Get("continuation-token")
	result := listResult{Name: o.config.Bucket, Prefix: prefix, MaxKeys: limit}
	for _, key := range slices.Sorted(maps.Keys(o.byKey)) {
		if !strings.HasPrefix(key, prefix) || key <= after {
			continue
		}
		if len(result.Contents) == limit {
			result.IsTruncated = true
			result.NextContinuationToken = result.Contents[limit-1].Key
			break
		}
		found := o.byKey[key]
		result.Contents = append(result.Contents, contents{
			Key:          key,
			ETag:         found.etag,
			Size:         len(found.body),
			LastModified: found.modified.UTC(),
		})
	}
	result.KeyCount = len(result.Contents)
	replyXML(c, http.StatusOK, result)
}
