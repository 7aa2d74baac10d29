// Package reclaim joins the lagging list of instances with reclaim notices and
// with what the controllers did themselves, and recognises waves of reclaims.
package reclaim
