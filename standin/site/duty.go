package site

// duty is something with a duty that ends when it is closed.
type duty interface {
	Run() error
	Close()
}
