// Package carrier defines the request and the response as they travel inside
// the system: from the router to the dispatcher of the key's group, in the same
// process or over a link to another VM. Both ways implement Handler.
package carrier
