#include "connection/peer_message.h"
