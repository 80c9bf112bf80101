// CBOR values as the protocol page allows them: maps keyed by text, lists, text, numbers,
// booleans and null. Also the size of a value in its JSON form, in which the page counts
// its limits.
#pragma once
#include <cmath>
#include <cstdint>
#include <cstdio>
#include <cstring>
#include <string>
#include <utility>
#include <vector>

struct Value {
    enum Kind { Null, Bool, Int, Real, Text, List, Map } kind = Null;
    bool truth = false;
    uint64_t integer = 0;
    double real = 0;
    std::string text;
    std::vector<Value> items;
    std::vector<std::pair<std::string, Value>> pairs;

    Value() = default;
    Value(bool b) : kind(Bool), truth(b)
    {
    }
    Value(int n) : kind(Int), integer((uint64_t)n)
    {
    }
    Value(uint64_t n) : kind(Int), integer(n)
    {
    }
    Value(double d) : kind(Real), real(d)
    {
    }
    Value(const char *s) : kind(Text), text(s)
    {
    }
    Value(const std::string &s) : kind(Text), text(s)
    {
    }
    static Value list()
    {
        Value v;
        v.kind = List;
        return v;
    }
    static Value map()
    {
        Value v;
        v.kind = Map;
        return v;
    }

    Value &set(const std::string &key, Value v)
    {
        kind = Map;
        for (auto &p : pairs)
            if (p.first == key) {
                p.second = std::move(v);
                return *this;
            }
        pairs.emplace_back(key, std::move(v));
        return *this;
    }
    Value &add(Value v)
    {
        kind = List;
        items.push_back(std::move(v));
        return *this;
    }
    const Value &operator[](const char *key) const
    {
        static const Value none;
        for (auto &p : pairs)
            if (p.first == key)
                return p.second;
        return none;
    }
    bool has(const char *key) const
    {
        return (*this)[key].kind != Null;
    }
    double number() const
    {
        return kind == Int ? (double)integer : real;
    }
    uint64_t count() const
    {
        return kind == Real ? (uint64_t)real : integer;
    }
};

inline void put_head(std::string &out, int major, uint64_t n)
{
    unsigned char m = (unsigned char)(major << 5);
    if (n < 24) {
        out += (char)(m | n);
        return;
    }
    int bytes = n < 256 ? 1 : n < 65536 ? 2 : n < (1ull << 32) ? 4 : 8;
    out += (char)(m | (bytes == 1 ? 24 : bytes == 2 ? 25 : bytes == 4 ? 26 : 27));
    for (int i = bytes - 1; i >= 0; i--)
        out += (char)(n >> (8 * i));
}

inline void encode(std::string &out, const Value &v)
{
    switch (v.kind) {
    case Value::Null:
        out += (char)0xf6;
        break;
    case Value::Bool:
        out += (char)(v.truth ? 0xf5 : 0xf4);
        break;
    case Value::Int:
        put_head(out, 0, v.integer);
        break;
    case Value::Real: {
        uint64_t bits;
        memcpy(&bits, &v.real, 8);
        out += (char)0xfb;
        for (int i = 7; i >= 0; i--)
            out += (char)(bits >> (8 * i));
        break;
    }
    case Value::Text:
        put_head(out, 3, v.text.size());
        out += v.text;
        break;
    case Value::List:
        put_head(out, 4, v.items.size());
        for (auto &i : v.items)
            encode(out, i);
        break;
    case Value::Map:
        put_head(out, 5, v.pairs.size());
        for (auto &p : v.pairs) {
            put_head(out, 3, p.first.size());
            out += p.first;
            encode(out, p.second);
        }
        break;
    }
}

struct Decoder {
    const unsigned char *at, *end;
    bool bad = false;

    uint64_t big(int bytes)
    {
        uint64_t n = 0;
        if (end - at < bytes) {
            bad = true;
            return 0;
        }
        while (bytes--)
            n = n << 8 | *at++;
        return n;
    }
    Value read(int depth = 0)
    {
        Value v;
        if (bad || at >= end || depth > 16) {
            bad = true;
            return v;
        }
        int first = *at++, major = first >> 5, low = first & 31;
        uint64_t n = (uint64_t)low;
        if (major < 7) {
            if (low > 27)
                bad = true;
            else if (low >= 24)
                n = big(1 << (low - 24));
        }
        switch (major) {
        case 0:
            return Value(n);
        case 1:
            return Value(-1.0 - (double)n);
        case 3:
            if ((uint64_t)(end - at) < n) {
                bad = true;
                return v;
            }
            v = Value(std::string((const char *)at, n));
            at += n;
            return v;
        case 4:
            v = Value::list();
            for (uint64_t i = 0; i < n && !bad; i++)
                v.items.push_back(read(depth + 1));
            return v;
        case 5:
            v = Value::map();
            for (uint64_t i = 0; i < n && !bad; i++) {
                Value key = read(depth + 1);
                if (key.kind != Value::Text)
                    bad = true;
                v.pairs.emplace_back(key.text, read(depth + 1));
            }
            return v;
        case 7:
            if (low == 20 || low == 21)
                return Value(low == 21);
            if (low == 22)
                return v;
            if (low == 26) {
                uint32_t bits = (uint32_t)big(4);
                float f;
                memcpy(&f, &bits, 4);
                return Value((double)f);
            }
            if (low == 27) {
                uint64_t bits = big(8);
                double d;
                memcpy(&d, &bits, 8);
                return Value(d);
            }
            break;
        default:
            break;
        }
        bad = true;
        return v;
    }
};

inline bool decode(const std::string &bytes, Value &v)
{
    Decoder d{(const unsigned char *)bytes.data(),
              (const unsigned char *)bytes.data() + bytes.size()};
    v = d.read();
    return !d.bad && d.at == d.end;
}

// The value as JSON. Amounts are written with at least one decimal, as on the page.
inline void to_json(std::string &out, const Value &v)
{
    char text[64];
    switch (v.kind) {
    case Value::Null:
        out += "null";
        break;
    case Value::Bool:
        out += v.truth ? "true" : "false";
        break;
    case Value::Int:
        snprintf(text, sizeof text, "%llu", (unsigned long long)v.integer);
        out += text;
        break;
    case Value::Real:
        snprintf(text, sizeof text, v.real == std::floor(v.real) ? "%.1f" : "%.15g",
                 v.real);
        out += text;
        break;
    case Value::Text:
        out += '"';
        for (char c : v.text) {
            if (c == '"' || c == '\\')
                out += '\\';
            out += c;
        }
        out += '"';
        break;
    case Value::List:
        out += '[';
        for (size_t i = 0; i < v.items.size(); i++) {
            if (i)
                out += ',';
            to_json(out, v.items[i]);
        }
        out += ']';
        break;
    case Value::Map:
        out += '{';
        for (size_t i = 0; i < v.pairs.size(); i++) {
            if (i)
                out += ',';
            out += '"' + v.pairs[i].first + "\":";
            to_json(out, v.pairs[i].second);
        }
        out += '}';
        break;
    }
}

inline std::string json(const Value &v)
{
    std::string out;
    to_json(out, v);
    return out;
}
