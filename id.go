package peridotusher

// RouterID identifies one router of the fleet. A restarted process keeps it.
type RouterID string

// EngineID identifies one model engine replica.
type EngineID string

// Zone is the name of an availability zone.
type Zone string

// RequestID identifies one request of one caller.
type RequestID string

// ChatKey identifies a chat across requests and routers.
type ChatKey string

// PermitID identifies one permit to send one request to one engine.
type PermitID string

// ChatKeyOf returns the key of an organisation's chat. Chats of different
// organisations never share a key.
func ChatKeyOf(organisation, name string) ChatKey {
	return ChatKey(organisation + "/" + name)
}
