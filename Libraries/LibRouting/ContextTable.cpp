#include <LibRouting/ContextTable.h>

namespace Stagepost {

void ContextTable::insert(ChatId chat, uint32_t tokens)
{
    m_held.put(chat, tokens);
    m_moved.erase(chat);
}

}
