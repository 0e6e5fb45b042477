#include "protobuf_json.hpp"

namespace gentianramp {

namespace {

using google::protobuf::FieldDescriptor;
using google::protobuf::Message;
using google::protobuf::Reflection;
using nlohmann::json;

json singleValue(const Message &message, const FieldDescriptor &field)
{
    const Reflection &reflection = *message.GetReflection();
    switch (field.cpp_type()) {
    case FieldDescriptor::CPPTYPE_INT32:
        return reflection.GetInt32(message, &field);
    case FieldDescriptor::CPPTYPE_INT64:
        return reflection.GetInt64(message, &field);
    case FieldDescriptor::CPPTYPE_UINT32:
        return reflection.GetUInt32(message, &field);
    case FieldDescriptor::CPPTYPE_UINT64:
        return reflection.GetUInt64(message, &field);
    case FieldDescriptor::CPPTYPE_DOUBLE:
        return reflection.GetDouble(message, &field);
    case FieldDescriptor::CPPTYPE_FLOAT:
        return reflection.GetFloat(message, &field);
    case FieldDescriptor::CPPTYPE_BOOL:
        return reflection.GetBool(message, &field);
    case FieldDescriptor::CPPTYPE_ENUM:
        return reflection.GetEnum(message, &field)->name();
    case FieldDescriptor::CPPTYPE_STRING:
        return reflection.GetString(message, &field);
    case FieldDescriptor::CPPTYPE_MESSAGE:
        return toJson(reflection.GetMessage(message, &field));
    }
    return nullptr;
}

json repeatedValue(const Message &message, const FieldDescriptor &field)
{
    const Reflection &reflection = *message.GetReflection();
    json list = json::array();
    const int size = reflection.FieldSize(message, &field);
    for (int index = 0; index < size; ++index) {
        if (field.cpp_type() == FieldDescriptor::CPPTYPE_MESSAGE)
            list.push_back(toJson(reflection.GetRepeatedMessage(message, &field, index)));
        else if (field.cpp_type() == FieldDescriptor::CPPTYPE_STRING)
            list.push_back(reflection.GetRepeatedString(message, &field, index));
    }
    return list;
}

} // namespace

json toJson(const Message &message)
{
    json object = json::object();
    const auto *descriptor = message.GetDescriptor();
    for (int index = 0; index < descriptor->field_count(); ++index) {
        const FieldDescriptor &field = *descriptor->field(index);
        if (field.is_repeated())
            object[field.name()] = repeatedValue(message, field);
        else if (!field.has_presence() || message.GetReflection()->HasField(message, &field))
            object[field.name()] = singleValue(message, field);
    }
    return object;
}

} // namespace gentianramp
